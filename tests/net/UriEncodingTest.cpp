// Values in paths and queries: what is written is read back, and nothing else.
#include "net/UriEncoding.h"
#include "net/HttpMessage.h"
#include "support/Property.h"

#include <algorithm>
#include <cctype>

using namespace tray;

namespace {

/// Any bytes, with those that URIs give a meaning to more often than others.
rc::Gen<std::string> anyName()
{
    const auto special =
        rc::gen::elementOf(std::string("%#&=+?/;:@ \"\\\r\n\t<>[]{}|^`~.\xc3\xbc"));
    return rc::gen::container<std::string>(rc::gen::oneOf(special, rc::gen::arbitrary<char>()));
}

bool isUnreservedOrEscape(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("-._~%").find(c) != std::string_view::npos;
}

} // namespace

TEST_CASE("A value of any bytes is written into a URI and read back unchanged")
{
    test::checkProperty("encoded values", 20261207, 500, [] {
        const auto name = *anyName();
        const auto other = *anyName();
        const auto encoded = percentEncode(name);
        RC_ASSERT(std::all_of(encoded.begin(), encoded.end(), isUnreservedOrEscape));
        RC_ASSERT(percentDecode(encoded) == name);
        RC_ASSERT(percentDecode(percentEncodePath(name)) == name);
        const auto target = withQuery("/v1/list", {{"after", name}, {"watch", other}});
        RC_ASSERT(pathOf(target) == "/v1/list");
        RC_ASSERT(queryParameter(target, "after") == name);
        RC_ASSERT(queryParameter(target, "watch") == other);
        RC_ASSERT(std::count(target.begin(), target.end(), '&') == 1);
    });
}

TEST_CASE("A component that is not encoded as it must be is not decoded")
{
    for (const auto *text : {"%", "a%2", "%zz", "%4G", "%%41"})
        CHECK_FALSE(percentDecode(text).has_value());
    CHECK(percentDecode("a+b%2b%C3%bc") == "a+b+\xc3\xbc");
    CHECK(percentEncodePath("a b/c?") == "a%20b/c%3F");
    // Queries of callers that are not encoded are taken as they are.
    CHECK(queryParameter("/p?a=x%&b=1+2%2B", "a") == "x%");
    CHECK(queryParameter("/p?a=x%&b=1+2%2B", "b") == "1 2+");
}
