// Claims through control nodes over loopback, with faults of the platform.
#include "node/ClaimService.h"
#include "claims/ClaimOwners.h"
#include "node/ClaimClient.h"
#include "node/NodeCluster.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace tray;
using namespace tray::test;

namespace {

/// Control node with the claim service of an owner and the claim client of an entry instance.
struct ClaimNode
{
    ClaimNode(const std::string &name, const Address &platform)
        : base(startNode({name, "dc", "r", "entry", ""}, platform)),
          service(std::make_unique<ClaimService>(base->context, *base->node, base->metrics)),
          client(*base->node)
    {
        this->service->start();
    }

    ~ClaimNode()
    {
        this->base->context.stop();
        this->base->thread.join();
        this->service.reset();
    }

    proto::ClaimReply begin(const std::string &key, const std::string &claim, int limitMs = 5000)
    {
        return this->base->wait(
            this->client.begin("client_account", key, 1, claim,
                               std::chrono::steady_clock::now() + milliseconds(limitMs)));
    }

    void finish(const std::string &key, const std::string &claim, const std::string &answer)
    {
        boost::asio::co_spawn(
            this->base->context,
            this->client.finish("client_account", key, claim, 200, "text/plain", answer),
            boost::asio::use_future)
            .get();
    }

    std::unique_ptr<TestNode> base;
    std::unique_ptr<ClaimService> service;
    ClaimClient client;
};

struct ClaimCluster
{
    ClaimCluster()
    {
        for (const char *name : {"a", "b", "c"})
            this->nodes.push_back(std::make_unique<ClaimNode>(name, this->platform.address));
        for (const auto &node : this->nodes)
            REQUIRE(eventually(std::chrono::seconds(5), [&] {
                return node->base->node->instances()->instances_size() == 3;
            }));
    }

    /// Index of the node that is the key's first owner.
    size_t ownerIndex(const std::string &key)
    {
        const auto owners = claimOwners(*this->nodes[0]->base->node->instances(),
                                        claimShardOf(claimKey("client_account", key)));
        return static_cast<size_t>(owners.front().id()[0] - 'a');
    }

    TestPlatform platform;
    std::vector<std::unique_ptr<ClaimNode>> nodes;
};

} // namespace

// Guards against a request that runs twice because its claim is granted to two entry instances, or
// is granted again by the successor of a dead owner.
TEST_CASE("A claim is granted once in a cluster")
{
    ClaimCluster cluster;
    CHECK(cluster.nodes[0]->begin("key", "1").verdict() == proto::CLAIM_VERDICT_GRANTED);
    CHECK(cluster.nodes[1]->begin("key", "2").verdict() == proto::CLAIM_VERDICT_IN_PROGRESS);
    CHECK(cluster.nodes[1]->begin("key", "1").verdict() == proto::CLAIM_VERDICT_GRANTED);

    SUBCASE("and its answer is returned to later requests with the same key")
    {
        cluster.nodes[0]->finish("key", "1", "done");
        const proto::ClaimReply reply = cluster.nodes[2]->begin("key", "3");
        CHECK(reply.verdict() == proto::CLAIM_VERDICT_FINISHED);
        CHECK(reply.record().answer() == "done");
        CHECK(reply.record().status() == 200);
    }
    SUBCASE("and is not granted again after its owner has died")
    {
        const size_t owner = cluster.ownerIndex("key");
        cluster.nodes[owner].reset();
        const size_t other = owner == 0 ? 1 : 0;
        CHECK(cluster.nodes[other]->begin("key", "4").verdict() ==
              proto::CLAIM_VERDICT_IN_PROGRESS);
        CHECK(cluster.nodes[other]->begin("new", "5").verdict() == proto::CLAIM_VERDICT_GRANTED);
    }
}

// Guards against a caller that waits until its deadline during an outage, and against a key that
// remains blocked after an outage.
TEST_CASE("Claims during platform faults")
{
    ClaimCluster cluster;
    SUBCASE("during an outage, a claim is refused immediately")
    {
        cluster.platform.fault({{"outage", true}});
        const Instant started = std::chrono::steady_clock::now();
        CHECK(cluster.nodes[0]->begin("key", "1").verdict() == proto::CLAIM_VERDICT_UNAVAILABLE);
        CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(1));
        cluster.platform.fault({{"outage", false}});
        CHECK(eventually(std::chrono::seconds(3), [&] {
            return cluster.nodes[0]->begin("key", "2").verdict() == proto::CLAIM_VERDICT_GRANTED;
        }));
    }
    SUBCASE("a write whose answer is lost does not lose its claim")
    {
        cluster.platform.fault({{"lost_answers", 2}});
        CHECK(cluster.nodes[0]->begin("key", "1").verdict() == proto::CLAIM_VERDICT_GRANTED);
        CHECK(cluster.nodes[1]->begin("key", "2").verdict() == proto::CLAIM_VERDICT_IN_PROGRESS);
    }
}

// Guards against claims that are granted twice to concurrent callers while answers of writes are
// lost.
TEST_CASE("Concurrent callers claim the same keys while answers of writes are lost")
{
    ClaimCluster cluster;
    cluster.platform.fault({{"lost_answer_percent", 20}});
    constexpr int Keys = 40;
    std::vector<std::atomic<int>> granted(Keys);
    std::atomic<int> unexpected = 0;
    std::vector<std::thread> callers;
    for (size_t node = 0; node < 3; ++node) {
        callers.emplace_back([&, node] {
            for (size_t key = 0; key < Keys; ++key) {
                const auto reply = cluster.nodes[node]->begin(
                    std::to_string(key), std::to_string(key) + "-" + std::to_string(node));
                if (reply.verdict() == proto::CLAIM_VERDICT_GRANTED)
                    ++granted[key];
                else if (reply.verdict() != proto::CLAIM_VERDICT_IN_PROGRESS)
                    ++unexpected;
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &count : granted)
        CHECK(count <= 1);
    // A claim may be refused when the answers of several consecutive writes are lost.
    CHECK(unexpected < 20);
}
