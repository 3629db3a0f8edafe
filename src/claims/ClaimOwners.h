// Where a claim belongs: its key, its shard and the instances that may own the shard.
#pragma once

#include "control.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// Number of claim shards; at 10 writes a second each they stay below 160 writes a second.
constexpr uint32_t ClaimShards = 16;

/// Instances that accept claims of a shard. The second one serves while the first cannot be reached
/// but is still listed; two owners at once cost rereads, never safety.
constexpr size_t ClaimOwnersPerShard = 2;

/// Digest of a client account's idempotency key, 16 bytes. Both parts are length-prefixed, so no
/// two pairs share their input.
std::string claimKey(std::string_view clientAccount, std::string_view idempotencyKey);

/// Shard of a claim key.
uint32_t claimShardOf(std::string_view key);

/// Owners of a shard among the live instances, best first, by rendezvous hashing.
std::vector<proto::InstanceEntry> claimOwners(const proto::InstanceList &instances, uint32_t shard);

} // namespace tray
