// Whole events out of a stream that arrives in pieces.
#include "gateway/EventSplitter.h"

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
