// Words of other gateways about the instance list that no sound gateway sends.
#include "GatewayPath.h"

using namespace tray;
using namespace tray::test;

namespace {

/// Far above all that the store will ever tell.
constexpr uint64_t WrongRevision = uint64_t{1} << 62;

std::string bodyOf(GatewayPath &path)
{
    const auto answer = path.send("/look/1");
    return isOk(answer) ? value(answer).body : error(answer).message;
}

} // namespace

TEST_CASE("A word with a revision that the store does not have makes a gateway deaf for no longer "
          "than one look")
{
    GatewayPath path([](const HttpRequest &request) -> UpstreamReply {
        return {UpstreamStandIn::answerTo(request, 200, "first")};
    });
    REQUIRE(bodyOf(path) == "first");
    proto::Datagram datagram;
    auto *word = datagram.mutable_list_word();
    word->set_revision(WrongRevision);
    word->set_parts(1);

    SUBCASE("to one that listens")
    {
        word->set_rank(0);
    }
    SUBCASE("to the reader itself")
    {
        path.runFor(ListRelay::Silence + ListRelay::Spread + milliseconds(200));
        word->set_rank(~uint64_t{0});
    }
    SUBCASE("in a part of a word")
    {
        word->set_parts(2);
    }
    path.steward.send(path.datagrams, datagram);
    path.runFor(milliseconds(200));

    path.store.remove("servers", "i-1");
    const int before = path.store.calls;
    path.runFor(std::chrono::seconds(5));
    CHECK(bodyOf(path) == "second");
    CHECK(path.store.calls - before < 40);
}
