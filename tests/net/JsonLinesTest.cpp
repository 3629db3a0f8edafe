// Guards against findings in a file that point at the wrong line.
#include "net/JsonLines.h"

#include <doctest/doctest.h>
#include <string>

using namespace tray;

TEST_CASE("A JSON pointer leads to the line of its value")
{
    const std::string text = "\n{\n \"a\": [1,\n  {\"b\": \"x,]}\\\"\",\n   \"c\":\n    2}],\n"
                             " \"d\": {\"aa\": 1, \"a\": {}},\n \"b\": 1, \"b\":\n 2\n}\n";
    CHECK(findJsonLine(text, "") == 2);
    CHECK(findJsonLine(text, "/a") == 3);
    CHECK(findJsonLine(text, "/a/0") == 3);
    CHECK(findJsonLine(text, "/a/1") == 4);
    CHECK(findJsonLine(text, "/a/1/b") == 4);
    CHECK(findJsonLine(text, "/a/1/c") == 6);
    CHECK(findJsonLine(text, "/d/a") == 7);

    SUBCASE("of members with the same name the last one counts")
    {
        CHECK(findJsonLine(text, "/b") == 9);
    }
    SUBCASE("a value that is not there is replaced by the one that should hold it")
    {
        CHECK(findJsonLine(text, "/a/1/missing") == 4);
        CHECK(findJsonLine(text, "/a/2") == 3);
        CHECK(findJsonLine(text, "/a/x") == 3);
        CHECK(findJsonLine(text, "/d/a/0/b") == 7);
        CHECK(findJsonLine(text, "/a/0/deeper") == 3);
        CHECK(findJsonLine("[]", "/0") == 1);
        CHECK(findJsonLine("", "/a") == 1);
    }
}

TEST_CASE("The line of a syntax error is told")
{
    CHECK_FALSE(findJsonErrorLine("{\n\"a\": 1}\n"));
    CHECK(findJsonErrorLine("{\n\"a\": 1\n\"b\": 2}") == 3);
    CHECK(findJsonErrorLine("{\n\"a\": [1,\n") == 3);
    CHECK(findJsonErrorLine("{}\n\n{}") == 3);
    CHECK(findJsonErrorLine("") == 1);
}
