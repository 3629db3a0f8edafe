// Tests which parts of a JSON document survive beside parts that cannot be parsed.
#include "net/JsonParts.h"

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

using namespace tray;

namespace {

/// The document as it was understood, or "error".
std::string understood(const std::string &text)
{
    const auto parsed = parseJsonParts(text);
    return isOk(parsed) ? boost::json::serialize(value(parsed)) : "error";
}

} // namespace

TEST_CASE("A JSON document is kept beside its parts that cannot be parsed")
{
    const std::string deep = std::string(50000, '[') + std::string(50000, ']');
    SUBCASE("a document without such parts is unchanged")
    {
        CHECK(understood(R"( {"a":[1,{"b":"]}"}],"c":null} )") ==
              R"({"a":[1,{"b":"]}"}],"c":null})");
    }
    SUBCASE("such a part becomes null, whatever stands beside it")
    {
        CHECK(understood("[1," + deep + ",2]") == "[1,[[[[null]]]],2]");
        CHECK(understood(R"({"a":1e400000000000,"b":[2]})") == R"({"a":null,"b":[2]})");
        CHECK(understood(R"([{"a":"\"]","b":)" + deep + R"(},{"c":1}])") ==
              R"([{"a":"\"]","b":[[[null]]]},{"c":1}])");
        CHECK(understood("{\"a\":\"\xff\",\"b\":{}}") == R"({"a":null,"b":{}})");
        CHECK(understood("[]" + deep) == "error");
    }
    SUBCASE("a name that cannot be read drops its member only")
    {
        CHECK(understood("{\"\xff\":1,\"b\":2}") == R"({"b":2})");
    }
    SUBCASE("brackets or quotes that do not match leave nothing to rely on")
    {
        for (const std::string text :
             {"", "[1", "{\"a\":1", "[1,\"a]", "{\"a\" 1}", "[1}2]", "}", "[,"}) {
            CAPTURE(text);
            CHECK(understood(text) == "error");
        }
    }
}
