// Control nodes over loopback: configuration, statuses and suspects reach all processes.
#include "node/NodeCluster.h"

#include "ctl/TicketSubmitter.h"
#include "membership/RelayTree.h"

#include <algorithm>
#include <boost/json.hpp>
#include <ctime>
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

using namespace tray;
using namespace tray::test;

namespace {

proto::Ticket tierTicket(uint64_t number)
{
    proto::Ticket ticket;
    ticket.set_number(number);
    auto &object = *ticket.add_objects();
    object.set_name("gold");
    object.mutable_tier()->set_deadline_ms(static_cast<uint32_t>(1000 + number));
    return ticket;
}

} // namespace

TEST_CASE("Two nodes and a platform share their state")
{
    TestPlatform platform;
    auto first = startNode({"a", "dc", "r", "entry", ""}, platform.address);
    auto second = startNode({"b", "dc", "r", "agent", "gpu"}, platform.address);
    REQUIRE(eventually(std::chrono::seconds(5), [&] {
        return first->node->instances()->instances_size() == 2 &&
               second->node->instances()->instances_size() == 2;
    }));
    proto::UpstreamStatus status;
    status.set_upstream("gpu");
    status.set_epoch(1);
    status.set_sequence(1);
    status.set_instance("b");
    status.set_control_address(toString(second->control));
    second->node->setOwnStatus(status);
    CHECK(
        eventually(std::chrono::seconds(3), [&] { return first->node->statuses()->size() == 1; }));
    first->node->reportCrash(77, "gpu", std::chrono::steady_clock::now());
    CHECK(eventually(std::chrono::seconds(3), [&] {
        return second->node->crashCount(77, std::chrono::steady_clock::now()) == 1;
    }));
    TicketSubmitter submitter(first->node->objectApi(), [] { return 0.5; });
    const auto accepted = first->wait(submitter.submit(
        tierTicket(1), {}, std::chrono::steady_clock::now() + std::chrono::seconds(5)));
    REQUIRE(isOk(accepted));
    CHECK(eventually(std::chrono::seconds(4), [&] {
        return first->node->headVersion() == 1 && second->node->headVersion() == 1;
    }));
    CHECK(first->node->catalogue()->findTier("gold")->deadline_ms() == 1001);
    CHECK(first->node->isFresh(std::chrono::steady_clock::now()));
    CHECK(second->node->isFresh(std::chrono::steady_clock::now()));
}

TEST_CASE("The upstream of a dead agent is marked as lost, and a wrong mark is corrected")
{
    spdlog::set_level(spdlog::level::off);
    TestPlatform platform;
    std::vector<std::unique_ptr<TestNode>> nodes;
    for (int i = 0; i < 4; ++i) {
        const std::string id = "n" + std::to_string(i);
        nodes.push_back(startNode({id, "dc", "r", "agent", "u" + id}, platform.address));
        proto::UpstreamStatus status;
        status.set_upstream("u" + id);
        status.set_instance(id);
        status.set_epoch(1);
        status.set_sequence(1);
        status.set_control_address(toString(nodes.back()->control));
        nodes.back()->node->setOwnStatus(status);
    }
    const auto lost = [&](const TestNode &at, const std::string &upstream) {
        const auto statuses = at.node->statuses();
        return std::any_of(statuses->begin(), statuses->end(), [&](const auto &status) {
            return status->upstream() == upstream && status->lost();
        });
    };
    REQUIRE(eventually(std::chrono::seconds(5), [&] {
        return std::all_of(nodes.begin(), nodes.end(),
                           [](const auto &made) { return made->node->statuses()->size() == 4; });
    }));
    SUBCASE("agents at any position in the tree are marked")
    {
        for (size_t dead = 0; dead < 2; ++dead) {
            const std::string upstream = "un" + std::to_string(dead);
            nodes[dead]->kill();
            CHECK(eventually(std::chrono::seconds(12), [&] {
                return lost(*nodes[2], upstream) && lost(*nodes[3], upstream);
            }));
        }
        CHECK_FALSE(lost(*nodes[2], "un3"));
        CHECK_FALSE(lost(*nodes[3], "un2"));
    }
    SUBCASE("a wrong mark from a peer is overridden")
    {
        proto::ControlRequest request;
        auto &sync = *request.mutable_sync();
        sync.set_instance("stranger");
        sync.mutable_in_force()->set_processes(1);
        auto &status = *sync.add_statuses();
        status.set_upstream("un3");
        status.set_instance("n3");
        status.set_epoch(1);
        status.set_sequence(1);
        status.set_liveness(1);
        status.set_lost(true);
        REQUIRE(isOk(nodes[0]->wait(
            nodes[0]->node->call(nodes[1]->control, request, std::chrono::seconds(1)))));
        REQUIRE(eventually(std::chrono::seconds(2), [&] { return lost(*nodes[1], "un3"); }));
        CHECK(eventually(std::chrono::seconds(5), [&] {
            return std::none_of(nodes.begin(), nodes.end(),
                                [&](const auto &made) { return lost(*made, "un3"); });
        }));
    }
}

TEST_CASE("A process that starts during an outage gets its state from the peers in its settings")
{
    spdlog::set_level(spdlog::level::off);
    TestPlatform platform;
    auto first = startNode({"a", "dc", "r", "entry", ""}, platform.address);
    REQUIRE(eventually(std::chrono::seconds(5),
                       [&] { return first->node->instances()->instances_size() == 1; }));
    TicketSubmitter submitter(first->node->objectApi(), [] { return 0.5; });
    REQUIRE(isOk(first->wait(submitter.submit(
        tierTicket(1), {}, std::chrono::steady_clock::now() + std::chrono::seconds(5)))));
    REQUIRE(eventually(std::chrono::seconds(4), [&] { return first->node->headVersion() == 1; }));
    boost::json::object fault;
    fault["outage"] = true;
    platform.fault(fault);
    auto late =
        startNode({"b", "dc", "r", "entry", ""}, platform.address, toString(first->control));
    CHECK(eventually(std::chrono::seconds(4), [&] { return late->node->headVersion() == 1; }));
}

namespace {

NodeIdentity clusterIdentity(int number)
{
    return {"node" + std::to_string(number), "dc" + std::to_string(number % 3),
            number % 3 == 2 ? "south" : "north", "entry", ""};
}

/// Thirty nodes in three data centres of two regions. One relay reaches the platform over a
/// separate listener, so that it alone can be cut off.
struct Cluster
{
    static constexpr int Size = 30;

    TestPlatform platform;
    Address isolatedListener = platform.addListener();
    // Index of the relay with the separate listener. The tree depends on the identities only.
    const size_t isolatedRelay = findRelay();
    std::vector<std::unique_ptr<TestNode>> nodes;

    Cluster()
    {
        for (int i = 0; i < Size; ++i) {
            const bool isolated = static_cast<size_t>(i) == this->isolatedRelay;
            this->nodes.push_back(startNode(clusterIdentity(i), isolated ? this->isolatedListener
                                                                         : this->platform.address));
        }
        REQUIRE(eventually(std::chrono::seconds(10), [&] {
            return this->all([](ControlNode &node) {
                return node.instances()->instances_size() == Size &&
                       node.isFresh(std::chrono::steady_clock::now());
            });
        }));
    }

    bool all(const std::function<bool(ControlNode &)> &holds)
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [&](const auto &made) { return !made->node || holds(*made->node); });
    }

    /// Index of the first relay.
    static size_t findRelay()
    {
        proto::InstanceList list;
        for (int i = 0; i < Size; ++i) {
            const auto identity = clusterIdentity(i);
            auto &entry = *list.add_instances();
            entry.set_id(identity.instance);
            entry.set_data_centre(identity.dataCentre);
            entry.set_region(identity.region);
        }
        for (int i = 0; i < Size; ++i) {
            if (RelayTree(list, list.instances(i)).isRelay())
                return static_cast<size_t>(i);
        }
        return 0;
    }

    /// Index of a node that works in all cases.
    size_t other() const { return this->isolatedRelay == 0 ? 1 : 0; }

    /// Submits a ticket and returns the head version that it created.
    uint64_t submit(uint64_t number)
    {
        auto &made = *this->nodes[this->other()];
        TicketSubmitter submitter(made.node->objectApi(), [] { return 0.5; });
        const auto accepted = made.wait(submitter.submit(
            tierTicket(number), {}, std::chrono::steady_clock::now() + std::chrono::seconds(5)));
        REQUIRE(isOk(accepted));
        return value(accepted).headVersion;
    }

    bool inForceWithin(uint64_t head, Duration limit)
    {
        return eventually(limit, [&] {
            return this->all([&](ControlNode &node) { return node.headVersion() >= head; });
        });
    }
};

constexpr auto InForceLimit = std::chrono::seconds(4);

} // namespace

TEST_CASE("Thirty nodes apply tickets during faults")
{
    spdlog::set_level(spdlog::level::off);
    Cluster cluster;
    SUBCASE("a ticket is in force in all nodes in time, and the aggregate reports it")
    {
        const auto head = cluster.submit(1);
        CHECK(cluster.inForceWithin(head, InForceLimit));
        proto::ControlRequest request;
        request.mutable_status();
        auto &asked = *cluster.nodes[cluster.other()];
        CHECK(eventually(std::chrono::seconds(5), [&] {
            const auto reply = asked.wait(asked.node->call(
                cluster.nodes[cluster.isolatedRelay]->control, request, std::chrono::seconds(1)));
            return isOk(reply) && value(reply).status().whole().processes() == Cluster::Size &&
                   value(reply).status().whole().lowest_head() == head;
        }));
    }
    SUBCASE("a dead relay does not delay a ticket beyond the limit")
    {
        cluster.nodes[cluster.isolatedRelay]->kill();
        const auto head = cluster.submit(1);
        CHECK(cluster.inForceWithin(head, InForceLimit));
    }
    SUBCASE("a relay that is cut off from the platform gets updates from its peers")
    {
        cluster.platform.platform.setCut(cluster.isolatedListener, true);
        const auto head = cluster.submit(1);
        CHECK(cluster.inForceWithin(head, InForceLimit));
        std::this_thread::sleep_for(std::chrono::seconds(4));
        CHECK(
            cluster.nodes[cluster.isolatedRelay]->node->isFresh(std::chrono::steady_clock::now()));
        CHECK_FALSE(cluster.nodes[cluster.isolatedRelay]->node->isPlatformUnreachable());
    }
    SUBCASE("all nodes learn in time that an instance is leaving")
    {
        auto &leaving = *cluster.nodes[9];
        const std::string id = leaving.node->identity().instance;
        leaving.wait(leaving.node->announceLeaving());
        CHECK(eventually(std::chrono::seconds(3), [&] {
            return cluster.all([&](ControlNode &node) {
                const auto list = node.instances();
                return std::any_of(
                    list->instances().begin(), list->instances().end(),
                    [&](const auto &entry) { return entry.id() == id && entry.leaving(); });
            });
        }));
    }
    SUBCASE("nodes stay fresh while none reaches the platform, and make few calls afterwards")
    {
        const char *kind = nullptr;
        SUBCASE("with refused calls")
        {
            kind = "outage";
        }
        SUBCASE("with calls that get no answer")
        {
            kind = "silent";
        }
        boost::json::object fault;
        fault[kind] = true;
        cluster.platform.fault(fault);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(6);
        bool fresh = true;
        while (std::chrono::steady_clock::now() < until) {
            fresh = fresh && cluster.all([](ControlNode &node) {
                return node.isFresh(std::chrono::steady_clock::now());
            });
            std::this_thread::sleep_for(milliseconds(20));
        }
        CHECK(fresh);
        CHECK(cluster.all([](ControlNode &node) { return node.isPlatformUnreachable(); }));
        const auto reads = [&] {
            return cluster.platform.platform.stats().at("reads").to_number<int64_t>();
        };
        const auto before = reads();
        fault[kind] = false;
        cluster.platform.fault(fault);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        // 6 relays, each with a list read and two watches that begin with a list.
        CHECK(reads() - before <= 60);
        const auto head = cluster.submit(1);
        CHECK(cluster.inForceWithin(head, InForceLimit));
    }
    SUBCASE("an idle node stays within the limits of control traffic")
    {
        // Waits until the statuses and lists exchanged at the start have been sent.
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const auto bytes = [&](const TestNode &made) {
            return metricOf(made, "tray_control_bytes_sent") +
                   metricOf(made, "tray_control_bytes_received");
        };
        std::vector<double> before;
        for (const auto &made : cluster.nodes)
            before.push_back(bytes(*made));
        const auto cpuBefore = std::clock();
        constexpr double Seconds = 4;
        std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
        const double cpu = static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
        double sum = 0;
        double highest = 0;
        for (size_t i = 0; i < cluster.nodes.size(); ++i) {
            const double rate = (bytes(*cluster.nodes[i]) - before[i]) / Seconds;
            sum += rate;
            highest = std::max(highest, rate);
        }
        MESSAGE("bytes/s per node: mean ", sum / Cluster::Size, " highest ", highest,
                "; CPU per node with its share of the stand-in: ",
                cpu / Seconds / Cluster::Size * 100, "% of a core");
        // Each exchange is counted at both ends.
        CHECK(sum / Cluster::Size <= 2 * 2 * 150 * 1.1);
        CHECK(highest <= 8000);
    }
}
