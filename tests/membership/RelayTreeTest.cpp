// Relay tree: everyone reaches the root over a short path, and nobody has too many children.
#include "membership/RelayTree.h"

#include "membership/ParentChoice.h"
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

TEST_CASE("The relay tree holds for any instance list")
{
    // Guards against: cycles, processes without a way to a relay, and parents with too many
    // children, each of which would break the spread of tickets within 4 s.
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
            // With any parents failing, the path ends: each parent stands earlier in one order.
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
            // Up to 300 instances stand in two levels below the relays; then relay, data centre and
            // region.
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

TEST_CASE("A parent that does not answer is left out for a growing time")
{
    std::vector<proto::InstanceEntry> candidates = {entryOf(1, "r", "d", false),
                                                    entryOf(2, "r", "d", false)};
    ParentChoice choice;
    const Instant start{};
    CHECK(choice.choose(candidates, start)->id() == "i1");
    choice.failed("i1", start, 1.0);
    CHECK(choice.choose(candidates, start)->id() == "i2");
    SUBCASE("it is tried again later, and a second failure pauses it for longer")
    {
        const auto later = start + ParentChoice::FirstPause;
        CHECK(choice.choose(candidates, later)->id() == "i1");
        choice.failed("i1", later, 1.0);
        CHECK(choice.choose(candidates, later + ParentChoice::FirstPause)->id() == "i2");
    }
    SUBCASE("without anyone left, there is no parent")
    {
        choice.failed("i2", start, 1.0);
        CHECK(choice.choose(candidates, start) == nullptr);
        choice.succeeded("i2");
        CHECK(choice.choose(candidates, start)->id() == "i2");
    }
}
