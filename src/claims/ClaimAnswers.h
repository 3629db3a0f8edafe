// Bounded in-memory cache of the answers that are too large for a claim record.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace tray {

/// Keeps the newest large answers of a shard by claim id; evicts the oldest ones when it is full.
class ClaimAnswers
{
public:
    explicit ClaimAnswers(size_t limitBytes) : limitBytes(limitBytes) {}

    /// Stores an answer. Does nothing if it alone exceeds the limit or if the claim already has
    /// one.
    void put(const std::string &claimId, std::string answer);
    /// Returns the answer of a claim if it is still stored.
    std::optional<std::string> find(const std::string &claimId) const;
    size_t bytes() const { return this->usedBytes; }

private:
    const size_t limitBytes;
    // Invariant: usedBytes is the sum of the answers' sizes and at most limitBytes; order lists
    // the claim id of each answer once, oldest first.
    size_t usedBytes = 0;
    std::unordered_map<std::string, std::string> answers;
    std::deque<std::string> order;
};

} // namespace tray
