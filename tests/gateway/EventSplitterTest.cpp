// Whole events out of a stream that arrives in pieces.
#include "gateway/EventSplitter.h"

#include "base/Time.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("Only whole events are passed on")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.feed("ta: b\n").empty());
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.feed("\nid: 3\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastId() == "2");

    SUBCASE("the rest is dropped when another upstream goes on")
    {
        splitter.dropRest();
        CHECK(splitter.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    }
    SUBCASE("the rest belongs to a body that ended in order")
    {
        CHECK(splitter.takeRest() == "id: 3\n");
        CHECK(splitter.takeRest().empty());
    }
    SUBCASE("several events in one piece pass together")
    {
        splitter.dropRest();
        CHECK(splitter.feed("id:7\n\nid: 8\r\ndata: x\r\n\r\n") ==
              "id:7\n\nid: 8\r\ndata: x\r\n\r\n");
        CHECK(splitter.lastId() == "8");
    }
}

TEST_CASE("The end of an event is found wherever its pieces are cut")
{
    const std::string event = "id: 1\r\ndata: a\r\n\r\n";
    for (size_t cut = 1; cut < event.size(); ++cut) {
        CAPTURE(cut);
        EventSplitter splitter;
        CHECK(splitter.feed(event.substr(0, cut)).empty());
        CHECK(splitter.feed(event.substr(cut)) == event);
        CHECK(splitter.lastId() == "1");
    }
}

TEST_CASE("A long event in small pieces does not hold up the thread")
{
    constexpr size_t Pieces = 40000;
    EventSplitter splitter;
    const Instant began = clockNow();
    for (size_t i = 0; i < Pieces; ++i)
        REQUIRE(splitter.feed("data ").empty());
    CHECK(splitter.feed("\n\n").size() == Pieces * 5 + 2);
    CHECK(clockNow() - began < std::chrono::seconds(2));
}
