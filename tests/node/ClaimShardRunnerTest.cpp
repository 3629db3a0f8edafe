// Claim shard whose calls to the object API throw exceptions.
#include "node/ClaimShardRunner.h"

#include "ctl/MemoryObjectApi.h"

#include <doctest/doctest.h>
#include <stdexcept>
#include <thread>

using namespace tray;
using namespace tray::test;

namespace {

/// Throws in the given number of first reads and writes. A write that throws has taken effect.
class ThrowingObjectApi : public MemoryObjectApi
{
public:
    ThrowingObjectApi() : MemoryObjectApi({}) {}

    boost::asio::awaitable<Result<ObjectValue>> read(std::string key) override
    {
        if (this->readsThatThrow-- > 0)
            throw std::runtime_error("unexpected failure");
        co_return co_await MemoryObjectApi::read(std::move(key));
    }

    boost::asio::awaitable<Result<uint64_t>> write(std::string key, std::string value,
                                                   uint64_t expectedVersion) override
    {
        const bool throws = this->writesThatThrow-- > 0;
        auto written =
            co_await MemoryObjectApi::write(std::move(key), std::move(value), expectedVersion);
        if (throws)
            throw std::runtime_error("unexpected failure");
        co_return written;
    }

    int readsThatThrow = 0;
    int writesThatThrow = 0;
};

} // namespace

TEST_CASE("All claims of a shard get a verdict even if a call to the object API throws")
{
    boost::asio::io_context context;
    ThrowingObjectApi objects;
    Metrics metrics;
    const auto runner =
        std::make_shared<ClaimShardRunner>(context, objects, 0, "a", ClaimShardSettings{}, metrics);
    const auto begin = [&](const std::string &claim) {
        proto::ControlRequest request;
        request.mutable_claim_begin()->set_key("key");
        request.mutable_claim_begin()->set_claim_id(claim);
        std::optional<proto::ClaimVerdict> verdict;
        runner->handle(std::move(request),
                       [&](const proto::ClaimReply &reply) { verdict = reply.verdict(); });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        context.restart();
        while (!verdict && context.run_one_until(end) > 0) {
        }
        return verdict ? proto::ClaimVerdict_Name(*verdict) : "none";
    };

    SUBCASE("a read that throws")
    {
        objects.readsThatThrow = 1;
    }
    SUBCASE("a write that throws after it took effect")
    {
        objects.writesThatThrow = 1;
    }
    const auto first = begin("1");
    CHECK((first == "CLAIM_VERDICT_UNAVAILABLE" || first == "CLAIM_VERDICT_GRANTED"));
    std::this_thread::sleep_for(ClaimShardSettings{}.outageBackoff + milliseconds(50));
    CHECK(begin("1") == "CLAIM_VERDICT_GRANTED");
    CHECK(begin("2") == "CLAIM_VERDICT_IN_PROGRESS");
    runner->stop();
    context.restart();
    context.run_for(milliseconds(100));
}
