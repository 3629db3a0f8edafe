// Implements the table of streams and the witnesses that were told of them.
#include "fleet/WitnessLedger.h"

#include "base/Hash.h"

#include <algorithm>

namespace tray {

namespace {

uint64_t digestOf(const Address &steward)
{
    return hash64("steward " + toString(steward));
}

uint64_t digestOf(const std::string &peer)
{
    return hash64("peer " + peer);
}

bool includes(const std::vector<uint64_t> &digests, uint64_t digest)
{
    return std::find(digests.begin(), digests.end(), digest) != digests.end();
}

} // namespace

void WitnessLedger::noteTold(uint64_t stream, const Witnesses &witnesses, Instant expiresAt,
                             Instant now)
{
    if (now >= expiresAt)
        return;
    Told told{{}, witnesses.peers.size(), expiresAt};
    told.witnesses.reserve(witnesses.size());
    for (const auto &steward : witnesses.stewards)
        told.witnesses.push_back(digestOf(steward));
    for (const auto &peer : witnesses.peers)
        told.witnesses.push_back(digestOf(peer));
    if (this->streams.insert_or_assign(stream, std::move(told)).second)
        this->order.push_back(stream);
    this->evict(now);
}

void WitnessLedger::evict(Instant now)
{
    while (!this->order.empty()) {
        const auto oldest = this->streams.find(this->order.front());
        if (this->order.size() <= MaxStreams && now < oldest->second.expiresAt)
            return;
        this->streams.erase(oldest);
        this->order.pop_front();
    }
}

bool WitnessLedger::isRestart(uint64_t witness, uint64_t incarnation, Instant now)
{
    if (incarnation == 0)
        return false;
    const auto [known, isNew] = this->incarnations.try_emplace(witness);
    const bool isRestart = known->second.incarnation != incarnation;
    known->second = {incarnation, now};
    if (isNew)
        std::erase_if(this->incarnations,
                      [&](const auto &item) { return now >= item.second.heardAt + WitnessMemory; });
    return isRestart;
}

std::vector<uint64_t> WitnessLedger::noteSteward(const Address &address, uint64_t incarnation,
                                                 Instant now)
{
    std::vector<uint64_t> lost;
    const uint64_t witness = digestOf(address);
    if (!this->isRestart(witness, incarnation, now))
        return lost;
    for (const auto &[stream, told] : this->streams) {
        if (includes(told.witnesses, witness))
            lost.push_back(stream);
    }
    return lost;
}

std::vector<uint64_t> WitnessLedger::notePeer(const std::string &peer, uint64_t incarnation,
                                              Instant now)
{
    std::vector<uint64_t> lost;
    const uint64_t witness = digestOf(peer);
    if (!this->isRestart(witness, incarnation, now))
        return lost;
    for (auto &[stream, told] : this->streams) {
        const bool wasTold = includes(told.witnesses, witness);
        if (!wasTold && told.peers >= ToldWitnesses.peers)
            continue;
        if (!wasTold) {
            told.witnesses.push_back(witness);
            ++told.peers;
        }
        lost.push_back(stream);
    }
    return lost;
}

} // namespace tray
