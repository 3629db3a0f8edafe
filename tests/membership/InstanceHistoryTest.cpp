// Updates of the instance list by deltas.
#include "membership/InstanceHistory.h"

#include "support/Property.h"

#include <map>

using namespace tray;

namespace {

using Model = std::map<std::string, std::string>;

proto::InstanceList listOf(const Model &model, uint64_t revision)
{
    proto::InstanceList list;
    list.set_revision(revision);
    for (const auto &[id, address] : model) {
        auto &entry = *list.add_instances();
        entry.set_id(id);
        entry.set_control_address(address);
    }
    return list;
}

Model modelOf(const proto::InstanceList &list)
{
    Model model;
    for (const auto &entry : list.instances())
        model[entry.id()] = entry.control_address();
    return model;
}

} // namespace

TEST_CASE("A peer keeps its instance list up to date by deltas")
{
    SUBCASE("a peer that misses deltas or receives them twice ends with the current list")
    {
        test::checkProperty("instance deltas", 20261208, 300, [] {
            InstanceHistory history;
            Model model;
            for (int i = 0; i < 20; ++i)
                model["node-" + std::to_string(i)] = "a0";
            auto current = listOf(model, 1);
            auto held = current;
            std::vector<proto::InstanceList> delayed;
            const int steps = *rc::gen::inRange(1, 150);
            for (int step = 0; step < steps; ++step) {
                const auto id = "node-" + std::to_string(*rc::gen::inRange(0, 30));
                if (*rc::gen::inRange(0, 3) == 0)
                    model.erase(id);
                else
                    model[id] = "a" + std::to_string(step);
                const auto next = listOf(model, current.revision() + 1);
                history.recordChange(current, next);
                current = next;
                if (*rc::gen::inRange(0, 3) == 0)
                    delayed.push_back(history.updateSince(held.revision(), current));
                // A delayed update must not revert the list to an older revision.
                if (!delayed.empty() && *rc::gen::inRange(0, 2) == 0) {
                    const auto &update = delayed[*rc::gen::inRange<size_t>(0, delayed.size())];
                    const auto applied = applyInstanceUpdate(held, update);
                    if (applied && applied->revision() > held.revision())
                        held = *applied;
                }
            }
            if (held.revision() < current.revision()) {
                const auto applied =
                    applyInstanceUpdate(held, history.updateSince(held.revision(), current));
                RC_ASSERT(applied.has_value());
                held = *applied;
            }
            RC_ASSERT(modelOf(held) == model);
        });
    }
    SUBCASE("a change of one instance among many is sent as a delta, not as a complete list")
    {
        Model model;
        for (int i = 0; i < 1600; ++i)
            model["node-" + std::to_string(i)] = "127.0.0.1:7000";
        const auto before = listOf(model, 7);
        model["node-5"] = "127.0.0.1:7001";
        const auto after = listOf(model, 8);
        InstanceHistory history;
        history.recordChange(before, after);
        CHECK(history.updateSince(7, after).ByteSizeLong() < 100);
        CHECK(modelOf(history.updateSince(0, after)).size() == 1600);
        CHECK(modelOf(history.updateSince(3, after)).size() == 1600);
    }
}
