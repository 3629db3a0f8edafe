// Chooses the processes that remember what began a stream, by rendezvous hashing, so that every
// gateway asks those that were told, whichever gateway told them.
#pragma once

#include "base/Address.h"
#include "fleet/Upstream.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Software versions of a service whose stewards are chosen at most.
inline constexpr size_t MaxWitnessVersions = 3;
/// Least share of the ready engines, one in this number, that a version must have. Each steward of
/// a smaller one would be told about nearly every stream.
inline constexpr size_t MinWitnessShare = 100;

/// Number of witnesses of a stream.
struct WitnessCounts
{
    size_t stewardsPerVersion = 0;
    size_t peers = 0;
};

/// Witnesses that are told what began a stream, and those that are asked for it. More are asked, as
/// engines and gateways may have come or gone since.
inline constexpr WitnessCounts ToldWitnesses{2, 2};
inline constexpr WitnessCounts AskedWitnesses{3, 3};

/// Witnesses of one stream, each once: stewards by their address, gateways by their name.
struct Witnesses
{
    std::vector<Address> stewards;
    std::vector<std::string> peers;

    size_t size() const { return this->stewards.size() + this->peers.size(); }
};

/// Returns the engines of a service whose stewards are witnesses of a stream: for each software
/// version that has ready ones, the given number. So a whole version can leave without taking all
/// witnesses with it. If there are more than MaxWitnessVersions, those with the most ready engines
/// are used; versions below MinWitnessShare are not.
std::vector<const UpstreamEntry *>
selectWitnessEngines(uint64_t stream, const std::string &service,
                     const std::map<std::string, UpstreamEntry> &entries, size_t perVersion);

/// Returns the gateways among the candidates that are witnesses of a stream.
std::vector<std::string> selectWitnessPeers(uint64_t stream, std::vector<std::string> candidates,
                                            size_t count);

} // namespace tray
