// Bodies without an end at many requests at once: they hold bounded memory together, and other
// requests go on.
#include "GatewayFixture.h"
#include "support/HeldMemory.h"

using namespace tray;
using namespace tray::test;

namespace {

// Large bodies may use half of this.
constexpr size_t BodyMemoryBytes = 4u << 20;
// A multiple of it, for what the connections and copies of the bodies hold, on both of their ends.
constexpr size_t MaxGrowthBytes = 8 * BodyMemoryBytes;
constexpr int EndlessAnswers = 40;

} // namespace

TEST_CASE("Error answers without an end hold bounded memory together, and others are served")
{
    const auto answer = [](const HttpRequest &request) -> StubReply {
        if (request.target == "/take/sound")
            return {StubUpstream::sealedAnswer(request, 200, "sound")};
        StubReply reply;
        reply.bytes = "HTTP/1.1 500 X\r\nMarjoramtray-Request-Id: r1\r\n\r\n";
        reply.repeatedBytes = std::string(64u << 10, 'x');
        reply.pieceDelay = milliseconds(10);
        return reply;
    };
    GatewayFixture fixture(answer, {}, std::chrono::seconds(8), BodyMemoryBytes);
    fixture.store.remove("servers", "i-2");
    REQUIRE(fixture.statusOf("/take/sound") == 200);
    const size_t before = heldBytes();
    size_t peak = before;
    int errors = 0;
    for (int i = 0; i < EndlessAnswers; ++i)
        asio::co_spawn(
            fixture.context,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.target = "/take/endless";
                request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", "r1"}};
                const auto answer = co_await fixture.caller.request(fixture.address, request,
                                                                    std::chrono::seconds(5));
                errors += isOk(answer) && value(answer).status == 502 ? 1 : 0;
            },
            asio::detached);
    for (int i = 0; i < 10; ++i) {
        fixture.runFor(milliseconds(100));
        peak = std::max(peak, heldBytes());
        CHECK(fixture.statusOf("/take/sound") == 200);
    }
    fixture.runFor(std::chrono::seconds(1));
    CHECK(errors == EndlessAnswers);
    CHECK(peak - before <= MaxGrowthBytes);
}
