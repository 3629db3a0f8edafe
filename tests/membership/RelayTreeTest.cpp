// Relay tree: all processes reach the root over a short path, and none has too many children.
#include "membership/RelayTree.h"

#include "membership/ParentSelector.h"
#include "support/Property.h"

#include <algorithm>
#include <map>

using namespace tray;

namespace {

proto::InstanceEntry entryOf(int number, const std::string &region, const std::string &dataCentre,
                             bool leaving)
{
    proto::InstanceEntry entry;
    entry.set_id("i" + std::to_string(number));
    entry.set_region(region);
    entry.set_data_centre(dataCentre);
    entry.set_leaving(leaving);
    return entry;
}

} // namespace

TEST_CASE("Any instance list gives a tree with one root, short paths and few children per parent")
{
    // Guards against cycles, processes without a path to a relay, and parents with too many
    // children. With any of them, tickets would not reach all processes within 4 s.
    test::checkProperty("relay tree", 20261205, 150, [] {
        using Row = std::tuple<int, int, bool>;
        const auto regions = *rc::gen::inRange(1, 4);
        const auto centres = *rc::gen::inRange(1, 4);
        const auto row =
            rc::gen::tuple(rc::gen::inRange(0, regions), rc::gen::inRange(0, centres),
                           rc::gen::weightedElement(std::initializer_list<std::pair<size_t, bool>>{
                               {9, false}, {1, true}}));
        const auto rows = *rc::gen::scale(3, rc::gen::container<std::vector<Row>>(row));
        proto::InstanceList list;
        int number = 0;
        size_t live = 0;
        for (const auto &[region, centre, leaving] : rows) {
            const std::string name = "r" + std::to_string(region);
            *list.add_instances() =
                entryOf(++number, name, name + "-" + std::to_string(centre), leaving);
            live += leaving ? 0 : 1;
        }
        std::map<std::string, RelayTree> trees;
        std::map<std::string, bool> isLeaving;
        for (const auto &entry : list.instances()) {
            trees.emplace(entry.id(), RelayTree(list, entry));
            isLeaving[entry.id()] = entry.leaving();
        }
        std::map<std::string, size_t> children;
        std::map<std::string, size_t> relays;
        size_t roots = 0;
        for (const auto &entry : list.instances()) {
            const auto &tree = trees.at(entry.id());
            for (const auto &parent : tree.parents())
                RC_ASSERT(!isLeaving.at(parent.id()));
            if (entry.leaving()) {
                RC_ASSERT(tree.parents().empty() == (live == 0));
                continue;
            }
            relays[entry.data_centre()] += tree.isRelay() ? 1 : 0;
            roots += tree.parents().empty() ? 1 : 0;
            // Whichever parents fail, the path ends: each parent precedes its child in one order.
            size_t steps = 0;
            std::string at = entry.id();
            while (!trees.at(at).parents().empty()) {
                const auto &parents = trees.at(at).parents();
                const auto pick = steps == 0 ? 0 : *rc::gen::inRange<size_t>(0, parents.size());
                at = parents[pick].id();
                RC_ASSERT(++steps <= live);
            }
            steps = 0;
            for (at = entry.id(); !trees.at(at).parents().empty();
                 at = trees.at(at).parents().front().id())
                ++steps;
            // Up to 300 instances are in two levels below the relays; the other levels are relay,
            // data centre and region.
            RC_ASSERT(steps <= 6);
            if (!tree.parents().empty())
                ++children[tree.parents().front().id()];
        }
        RC_ASSERT(roots == (live == 0 ? 0u : 1u));
        for (const auto &[id, count] : children)
            RC_ASSERT(count <= RelayTree::FanOut + 1 + static_cast<size_t>(centres + regions));
        for (const auto &[centre, count] : relays)
            RC_ASSERT(count >= 1 && count <= RelayTree::RelaysPerDataCentre);
    });
}

TEST_CASE("A parent that does not answer is skipped for a growing backoff")
{
    std::vector<proto::InstanceEntry> candidates = {entryOf(1, "r", "d", false),
                                                    entryOf(2, "r", "d", false)};
    ParentSelector selector;
    const Instant start{};
    CHECK(selector.choose(candidates, start)->id() == "i1");
    selector.noteFailure("i1", start, 1.0);
    CHECK(selector.choose(candidates, start)->id() == "i2");
    SUBCASE("it is retried after the backoff, and a second failure doubles the backoff")
    {
        const auto later = start + ParentSelector::InitialRetryBackoff;
        CHECK(selector.choose(candidates, later)->id() == "i1");
        selector.noteFailure("i1", later, 1.0);
        CHECK(selector.choose(candidates, later + ParentSelector::InitialRetryBackoff)->id() ==
              "i2");
    }
    SUBCASE("if all candidates are in backoff, there is no parent")
    {
        selector.noteFailure("i2", start, 1.0);
        CHECK(selector.choose(candidates, start) == nullptr);
        selector.noteSuccess("i2");
        CHECK(selector.choose(candidates, start)->id() == "i2");
    }
}
