// Computes the key of a claim, its shard and the instances that may own the shard.
#pragma once

#include "control.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// Number of claim shards. At 10 writes per second each they stay below 160 writes per second.
constexpr uint32_t ClaimShards = 16;

/// Number of instances that accept claims of a shard. The second one serves the shard while the
/// first is unreachable but still listed. Two concurrent owners cost rereads, never safety.
constexpr size_t ClaimOwnersPerShard = 2;

/// Returns the digest of a client account and its idempotency key, 16 bytes. Both parts are
/// length-prefixed, so that no two pairs have the same input to the hash.
std::string claimKey(std::string_view clientAccount, std::string_view idempotencyKey);

/// Returns the shard of a claim key.
uint32_t claimShardOf(std::string_view key);

/// Returns the owners of a shard among the live instances, in order of preference, by rendezvous
/// hashing.
std::vector<proto::InstanceEntry> claimOwners(const proto::InstanceList &instances, uint32_t shard);

} // namespace tray
