// Maps claims to shards and shards to instances by hashing.
#include "claims/ClaimOwners.h"

#include "base/Hash.h"

#include <algorithm>

namespace tray {

namespace {

void appendWithLength(std::string &text, std::string_view part)
{
    const uint64_t size = part.size();
    for (int shift = 0; shift < 64; shift += 8)
        text += static_cast<char>((size >> shift) & 255);
    text += part;
}

} // namespace

std::string claimKey(std::string_view clientAccount, std::string_view idempotencyKey)
{
    std::string text;
    appendWithLength(text, clientAccount);
    appendWithLength(text, idempotencyKey);
    return hash128(text);
}

uint32_t claimShardOf(std::string_view key)
{
    return static_cast<uint32_t>(hash64(key) % ClaimShards);
}

std::vector<proto::InstanceEntry> claimOwners(const proto::InstanceList &instances, uint32_t shard)
{
    const std::string name = "claims/" + std::to_string(shard);
    std::vector<std::pair<uint64_t, const proto::InstanceEntry *>> candidates;
    for (const proto::InstanceEntry &entry : instances.instances()) {
        if (!entry.leaving() && !entry.control_address().empty())
            candidates.emplace_back(rendezvousWeight(name, entry.id()), &entry);
    }
    const size_t count = std::min(candidates.size(), ClaimOwnersPerShard);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count),
                      candidates.end(), std::greater<>());
    std::vector<proto::InstanceEntry> owners;
    for (size_t i = 0; i < count; ++i)
        owners.push_back(*candidates[i].second);
    return owners;
}

} // namespace tray
