// Guards against streams whose witnesses are not found again after engines or gateways have left.
#include "fleet/WitnessSelection.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace tray;

namespace {

constexpr uint64_t Streams = 200;

using Entries = std::map<std::string, UpstreamEntry>;

void addEngines(Entries &entries, const std::string &version, int count,
                const std::string &service = "llm")
{
    for (int i = 0; i < count; ++i) {
        UpstreamEntry entry;
        entry.id = service + "-" + version + "-" + std::to_string(i);
        entry.service = service;
        entry.softwareVersion = version;
        entries[entry.id] = entry;
    }
}

std::set<std::string> idsOf(const std::vector<const UpstreamEntry *> &engines)
{
    std::set<std::string> ids;
    for (const auto *engine : engines)
        ids.insert(engine->id);
    return ids;
}

std::set<std::string> told(uint64_t stream, const Entries &entries)
{
    return idsOf(selectWitnessEngines(stream, "llm", entries, ToldWitnesses.stewardsPerVersion));
}

std::set<std::string> asked(uint64_t stream, const Entries &entries)
{
    return idsOf(selectWitnessEngines(stream, "llm", entries, AskedWitnesses.stewardsPerVersion));
}

size_t countCommon(const std::set<std::string> &one, const std::set<std::string> &other)
{
    return static_cast<size_t>(std::count_if(
        one.begin(), one.end(), [&](const auto &name) { return other.contains(name); }));
}

} // namespace

TEST_CASE("Each software version of the service has witnesses of a stream")
{
    Entries entries;
    addEngines(entries, "v1", 12);
    addEngines(entries, "v2", 3);
    addEngines(entries, "v1", 5, "other");
    for (uint64_t stream = 0; stream < Streams; ++stream) {
        const auto witnesses = told(stream, entries);
        CHECK(witnesses.size() == 4);
        CHECK(std::count_if(witnesses.begin(), witnesses.end(),
                            [](const std::string &id) { return id.starts_with("llm-v2"); }) == 2);
    }

    SUBCASE("so that some are found after one version has left")
    {
        Entries left;
        addEngines(left, "v2", 3);
        for (uint64_t stream = 0; stream < Streams; ++stream)
            CHECK(countCommon(told(stream, entries), asked(stream, left)) == 2);
    }
    SUBCASE("or after an engine has left, come or begun to drain")
    {
        Entries changed = entries;
        changed.erase("llm-v1-3");
        changed["llm-v2-0"].phase = UpstreamPhase::Draining;
        for (uint64_t stream = 0; stream < Streams; ++stream) {
            CHECK(countCommon(told(stream, entries), asked(stream, changed)) >= 2);
            CHECK(countCommon(told(stream, changed), asked(stream, entries)) == 4);
        }
    }
    SUBCASE("and the most common versions if there are too many")
    {
        addEngines(entries, "v3", 2);
        addEngines(entries, "v0", 1);
        const auto witnesses = told(1, entries);
        CHECK(witnesses.size() == 6);
        CHECK_FALSE(witnesses.contains("llm-v0-0"));
    }
}

TEST_CASE("The few engines of a version that has just come are not told about every stream")
{
    Entries entries;
    addEngines(entries, "v1", 400);
    addEngines(entries, "v2", 2);
    const auto witnesses = told(1, entries);
    CHECK(witnesses.size() == 2);
    CHECK(countCommon(witnesses, {"llm-v2-0", "llm-v2-1"}) == 0);
    addEngines(entries, "v2", 5);
    CHECK(told(1, entries).size() == 4);
}

TEST_CASE("Streams are spread over the engines and the gateways")
{
    Entries entries;
    addEngines(entries, "v1", 10);
    std::vector<std::string> peers;
    for (int i = 0; i < 10; ++i)
        peers.push_back("front-" + std::to_string(i));
    std::map<std::string, int> streamsOf;
    for (uint64_t stream = 0; stream < Streams; ++stream) {
        for (const auto &id : told(stream, entries))
            ++streamsOf[id];
        for (const auto &peer : selectWitnessPeers(stream, peers, ToldWitnesses.peers))
            ++streamsOf[peer];
    }
    CHECK(streamsOf.size() == 20);
    for (const auto &[name, count] : streamsOf)
        CHECK(count < 80);
}

TEST_CASE("A gateway asks at least one of the peers that another one has told")
{
    std::vector<std::string> all;
    for (int i = 0; i < 6; ++i)
        all.push_back("front-" + std::to_string(i));
    const auto peersOf = [&](const std::string &own) {
        std::vector<std::string> peers = all;
        std::erase(peers, own);
        return peers;
    };
    for (uint64_t stream = 0; stream < Streams; ++stream) {
        const auto told = selectWitnessPeers(stream, peersOf("front-0"), ToldWitnesses.peers);
        const auto asked = selectWitnessPeers(stream, peersOf("front-1"), AskedWitnesses.peers);
        for (const auto &peer : told) {
            const bool isFound =
                peer == "front-1" || std::find(asked.begin(), asked.end(), peer) != asked.end();
            CHECK(isFound);
        }
    }
    CHECK(selectWitnessPeers(1, {}, 2).empty());
}
