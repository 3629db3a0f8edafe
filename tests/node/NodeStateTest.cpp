// State exchange between neighbours: deltas under message loss, duplication and restarts;
// freshness.
#include "node/NodeState.h"

#include "support/Property.h"

using namespace tray;

namespace {

constexpr auto Stale = std::chrono::seconds(3);
constexpr int Nodes = 5;

NodeIdentity identityOf(int number)
{
    const std::string id = "n" + std::to_string(number);
    return {id, "dc", "r", "agent", "u" + std::to_string(number)};
}

/// A tree of five nodes: node 0 is the root, 1 and 2 its children, 3 and 4 below either of them.
struct World
{
    std::vector<std::unique_ptr<NodeState>> nodes;
    std::vector<uint64_t> epochs = std::vector<uint64_t>(Nodes, 0);
    std::vector<uint64_t> sequences = std::vector<uint64_t>(Nodes, 0);
    std::vector<int> parents = {-1, 0, 0, 1, 2};
    uint64_t lastChangeLogId = 0;
    Instant now{std::chrono::hours(1)};

    World()
    {
        for (int i = 0; i < Nodes; ++i) {
            this->nodes.emplace_back();
            this->restart(i);
        }
    }

    void restart(int i)
    {
        const auto at = static_cast<size_t>(i);
        this->nodes[at] =
            std::make_unique<NodeState>(identityOf(i), ++this->lastChangeLogId, Stale);
        ++this->epochs[at];
        this->sequences[at] = 0;
        this->publish(i);
    }

    void publish(int i)
    {
        const auto at = static_cast<size_t>(i);
        proto::UpstreamStatus status;
        status.set_upstream("u" + std::to_string(i));
        status.set_instance("n" + std::to_string(i));
        status.set_epoch(this->epochs[at]);
        status.set_sequence(++this->sequences[at]);
        this->nodes[at]->setOwnStatus(status, this->now);
    }

    /// Polls the parent once. Lost requests and replies are dropped. A repeated request reaches the
    /// parent twice, the second time after the reply.
    void poll(int i, bool requestLost, bool replyLost, bool repeated)
    {
        this->now += milliseconds(100);
        auto &child = *this->nodes[static_cast<size_t>(i)];
        const int parentNumber = this->parents[static_cast<size_t>(i)];
        if (parentNumber < 0)
            return;
        auto &parent = *this->nodes[static_cast<size_t>(parentNumber)];
        const auto poll = child.makePoll("n" + std::to_string(parentNumber), this->now);
        if (requestLost) {
            child.onPollFailed(poll, this->now);
            return;
        }
        const auto reply = parent.answer(poll.request, this->now);
        if (repeated)
            (void)parent.answer(poll.request, this->now);
        if (replyLost)
            child.onPollFailed(poll, this->now);
        else
            child.applyReply(poll, reply, this->now);
    }
};

} // namespace

TEST_CASE("Status deltas bring all processes to the newest epoch and sequence")
{
    // Guards against a process that keeps an old status forever after a lost or repeated message, a
    // restart of its parent or a change of parents.
    test::checkProperty("status deltas", 20261206, 300, [] {
        using Step = std::tuple<int, int, int>;
        const auto steps = *rc::gen::scale(
            2, rc::gen::container<std::vector<Step>>(rc::gen::tuple(
                   rc::gen::inRange(0, 10), rc::gen::inRange(0, Nodes), rc::gen::inRange(0, 8))));
        World world;
        for (const auto &[action, node, detail] : steps) {
            if (action == 0)
                world.restart(node);
            else if (action == 1)
                world.publish(node);
            else if (action == 2 && node >= 3)
                world.parents[static_cast<size_t>(node)] = 1 + detail % 2;
            else if (action == 3) {
                // Upstreams of children that timed out are marked as lost, correctly or wrongly.
                world.now += NodeState::ChildTimeout;
                auto &state = *world.nodes[static_cast<size_t>(node)];
                for (const auto &status : state.takeUnconfirmed(world.now).individual)
                    state.markLost(status, world.now);
            } else
                world.poll(node, detail == 0, detail == 1, detail == 2);
        }
        // The correction of a wrong lost mark takes one pass up the tree and one pass down.
        for (int round = 0; round < 8; ++round) {
            for (int i = Nodes - 1; i > 0; --i)
                world.poll(i, false, false, false);
        }
        for (int i = 0; i < Nodes; ++i) {
            const auto statuses = *world.nodes[static_cast<size_t>(i)]->statuses();
            RC_ASSERT(statuses.size() == static_cast<size_t>(Nodes));
            for (const auto &status : statuses) {
                const auto owner = static_cast<size_t>(status->upstream()[1] - '0');
                RC_ASSERT(status->epoch() == world.epochs[owner]);
                RC_ASSERT(status->sequence() == world.sequences[owner]);
                RC_ASSERT(!status->lost());
            }
        }
    });
}

TEST_CASE("After a cut, a root finds unconfirmed upstreams and overrides wrong lost marks")
{
    World world;
    for (int i = Nodes - 1; i > 0; --i)
        world.poll(i, false, false, false);
    for (int i = 1; i < Nodes; ++i)
        world.poll(i, false, false, false);
    auto &cut = *world.nodes[1];
    const auto statusAt = [&](size_t node, const std::string &upstream) {
        const auto statuses = *world.nodes[node]->statuses();
        return **std::find_if(statuses.begin(), statuses.end(),
                              [&](const auto &status) { return status->upstream() == upstream; });
    };
    // Node 1 loses its parent, and its child continues to poll.
    cut.actAsRoot(world.now);
    CHECK(cut.takeUnconfirmed(world.now).orphans.empty());
    world.now += NodeState::ChildTimeout - milliseconds(100);
    world.poll(3, false, false, false);
    const auto orphans = cut.takeUnconfirmed(world.now).orphans;
    REQUIRE(orphans.size() == 1);
    CHECK(orphans.begin()->second.size() == 3);
    for (const auto &status : orphans.begin()->second)
        cut.markLost(status, world.now);
    CHECK(statusAt(1, "u2").lost());
    CHECK_FALSE(statusAt(1, "u3").lost());
    // Meanwhile, the other side marks the upstreams behind the cut as lost. When the link is
    // restored, the marks of neither side may take live upstreams of the other out of use.
    world.poll(2, false, false, false);
    for (const auto &status : world.nodes[0]->takeUnconfirmed(world.now).individual)
        world.nodes[0]->markLost(status, world.now);
    REQUIRE(statusAt(0, "u3").lost());
    world.poll(1, false, false, false);
    CHECK_FALSE(statusAt(0, "u2").lost());
    CHECK_FALSE(statusAt(1, "u3").lost());
    for (int round = 0; round < 3; ++round) {
        for (int i = Nodes - 1; i > 0; --i)
            world.poll(i, false, false, false);
    }
    for (size_t node = 0; node < Nodes; ++node) {
        for (int i = 0; i < Nodes; ++i)
            CHECK_FALSE(statusAt(node, "u" + std::to_string(i)).lost());
    }
}

TEST_CASE("An agent's own report that its engine is lost is not overridden, and costs no traffic")
{
    World world;
    proto::UpstreamStatus status;
    status.set_upstream("u1");
    status.set_epoch(world.epochs[1]);
    status.set_sequence(99);
    status.set_lost(true);
    world.nodes[1]->setOwnStatus(status, world.now);
    for (int round = 0; round < 3; ++round)
        world.poll(1, false, false, false);
    const auto poll = world.nodes[1]->makePoll("n0", world.now);
    CHECK(poll.request.statuses().empty());
    CHECK(world.nodes[0]->answer(poll.request, world.now).statuses().empty());
    for (size_t node = 0; node < 2; ++node) {
        const auto statuses = *world.nodes[node]->statuses();
        const auto found = std::find_if(statuses.begin(), statuses.end(),
                                        [](const auto &row) { return row->upstream() == "u1"; });
        CHECK((*found)->lost());
        CHECK((*found)->liveness() == 0);
    }
}

TEST_CASE("A lost upstream is forgotten once its instance has been off the list for a while")
{
    World world;
    world.poll(1, false, false, false);
    auto &root = *world.nodes[0];
    world.now += NodeState::ChildTimeout;
    for (const auto &status : root.takeUnconfirmed(world.now).individual)
        root.markLost(status, world.now);
    root.forgetLost(world.now);
    root.forgetLost(world.now + NodeState::LostUpstreamLifetime - milliseconds(1));
    CHECK(root.statuses()->size() == 2);
    root.forgetLost(world.now + NodeState::LostUpstreamLifetime);
    REQUIRE(root.statuses()->size() == 1);
    CHECK(root.statuses()->front()->upstream() == "u0");
}

TEST_CASE("A node judges the freshness of its state")
{
    World world;
    auto &root = *world.nodes[0];
    auto &child = *world.nodes[1];
    root.notePlatformContact(world.now);
    world.poll(1, false, false, false);
    const auto contactAt = world.now - milliseconds(100);
    SUBCASE("contact with the platform is forwarded to children with its age")
    {
        CHECK(child.isFresh(contactAt + Stale));
        CHECK_FALSE(child.isFresh(contactAt + Stale + milliseconds(1)));
    }
    SUBCASE("a process that is cut off is not fresh, as no other relay confirms an outage")
    {
        world.now = contactAt + Stale + milliseconds(1);
        CHECK_FALSE(root.isFresh(world.now));
        CHECK_FALSE(root.isPlatformUnreachable(world.now));
    }
    SUBCASE("processes stay fresh while no relay reaches the platform")
    {
        world.now = contactAt + Stale * 2;
        proto::SyncReply peer;
        peer.set_platform_age_ms(5000);
        root.applyPeerReply("relay", peer, world.now, world.now);
        CHECK(root.isPlatformUnreachable(world.now));
        world.poll(1, false, false, false);
        CHECK(child.isPlatformUnreachable(world.now));
        CHECK(child.isFresh(world.now));
        SUBCASE("but not one that missed a ticket accepted before")
        {
            child.noteHeadVersion(9);
            CHECK_FALSE(child.isFresh(world.now));
        }
    }
    SUBCASE("a peer with contact to the platform makes the process fresh")
    {
        world.now = contactAt + Stale * 2;
        proto::SyncReply peer;
        peer.set_platform_age_ms(100);
        root.applyPeerReply("relay", peer, world.now, world.now);
        CHECK(root.isFresh(world.now));
    }
}

TEST_CASE("A node never reverts to an older head")
{
    World world;
    auto &node = *world.nodes[0];
    proto::Head head;
    head.set_version(2);
    node.offerHead(head);
    CHECK(node.headVersion() == 2);
    head.set_version(1);
    node.offerHead(head);
    CHECK(node.headVersion() == 2);
    // A head whose sections are still missing is not in force.
    head.set_version(3);
    head.add_section_digests(sectionDigest("x"));
    node.offerHead(head);
    CHECK(node.headVersion() == 2);
    CHECK(node.missingDigests().size() == 1);
    CHECK_FALSE(node.addSections({"wrong"}));
    CHECK(node.headVersion() == 2);
}

TEST_CASE("Demand reaches the planner of each relay exactly once")
{
    World world;
    proto::Demand demand;
    demand.set_name("llm");
    demand.set_requests(3);
    world.nodes[3]->demand().addFromBelow(demand);
    for (int i = Nodes - 1; i > 0; --i)
        world.poll(i, false, false, false);
    world.nodes[0]->actAsRoot(world.now);
    for (int i = 1; i < Nodes; ++i)
        world.poll(i, false, false, false);
    for (size_t i = 0; i < 3; ++i) {
        const auto rows = world.nodes[i]->demand().takeLocal();
        REQUIRE(rows.size() == 1);
        CHECK(rows[0].requests() == 3);
        CHECK(world.nodes[i]->demand().takeLocal().empty());
    }
}
