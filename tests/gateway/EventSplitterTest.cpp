// Tests that complete events are extracted from a stream that arrives in pieces.
#include "gateway/EventSplitter.h"

#include "base/Time.h"

#include <doctest/doctest.h>

using namespace tray;

TEST_CASE("Only complete events are passed on")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastEventId() == "1");
    CHECK(splitter.feed("ta: b\n").empty());
    CHECK(splitter.lastEventId() == "1");
    CHECK(splitter.feed("\nid: 3\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEventId() == "2");

    SUBCASE("the incomplete event is discarded when the stream resumes at another upstream")
    {
        splitter.beginNextRun();
        CHECK(!splitter.hasEvents());
        CHECK(splitter.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
        CHECK(splitter.hasEvents());
    }
    SUBCASE("a stream that ends after a part of an event is recognised")
    {
        CHECK(splitter.hasIncompleteEvent());
        CHECK(splitter.feed("data: c\n\n") == "id: 3\ndata: c\n\n");
        CHECK(!splitter.hasIncompleteEvent());
    }
    SUBCASE("events that the run before has passed on, or that cannot be told from them, are not")
    {
        splitter.beginNextRun();
        const bool isRepeated = splitter.feed("id: 3\ndata: c\n\nid: 2\ndata: b\n\n").empty();
        CHECK(isRepeated);
        CHECK(splitter.isOutOfSequence());
        CHECK(splitter.lastEventId() == "2");
        splitter.beginNextRun();
        CHECK(splitter.feed("data: c\n\n").empty());
        CHECK(splitter.isOutOfSequence());
        splitter.beginNextRun();
        CHECK(splitter.feed(": comment\n\nid: 10\ndata: c\n\n").size() == 27);
        CHECK(!splitter.isOutOfSequence());
    }
    SUBCASE("several events in one piece are returned together")
    {
        splitter.beginNextRun();
        CHECK(splitter.feed("id:7\n\nid: 8\r\ndata: x\r\n\r\n") ==
              "id:7\n\nid: 8\r\ndata: x\r\n\r\n");
        CHECK(splitter.lastEventId() == "8");
    }
}

TEST_CASE("A stream without ids can be continued only before its first event")
{
    EventSplitter splitter;
    CHECK(splitter.feed("data").empty());
    CHECK(splitter.canContinue());
    CHECK(!splitter.feed(": a\n\n").empty());
    CHECK(!splitter.canContinue());
}

TEST_CASE("A stream cannot be continued after an event whose id no header can name")
{
    EventSplitter splitter;
    CHECK(!splitter.feed("id: 1\ndata: a\n\n").empty());
    CHECK(splitter.canContinue());
    CHECK(!splitter.feed("id: 2\rX-Injected: 1\ndata: b\n\n").empty());
    CHECK(!splitter.canContinue());
    CHECK(!splitter.feed("id: 3\ndata: c\n\n").empty());
    CHECK(splitter.lastEventId() == "3");
}

TEST_CASE("The end of an event is found wherever the stream is split into pieces")
{
    const std::string event = "id: 1\r\ndata: a\r\n\r\n";
    for (size_t cut = 1; cut < event.size(); ++cut) {
        CAPTURE(cut);
        EventSplitter splitter;
        CHECK(splitter.feed(event.substr(0, cut)).empty());
        CHECK(splitter.feed(event.substr(cut)) == event);
        CHECK(splitter.lastEventId() == "1");
    }
}

TEST_CASE("A long event in small pieces does not block the thread")
{
    constexpr size_t Pieces = 40000;
    EventSplitter splitter;
    const Instant began = clockNow();
    for (size_t i = 0; i < Pieces; ++i)
        REQUIRE(splitter.feed("data ").empty());
    CHECK(splitter.feed("\n\n").size() == Pieces * 5 + 2);
    CHECK(clockNow() - began < std::chrono::seconds(2));
}
