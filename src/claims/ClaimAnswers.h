// Bounded memory for answers that are too large for a claim record.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace tray {

/// Keeps the newest large answers of a shard by claim id; the oldest go first when it is full.
class ClaimAnswers
{
public:
    explicit ClaimAnswers(size_t limitBytes) : limitBytes(limitBytes) {}

    /// Keeps an answer; one above the whole limit is not kept.
    void put(const std::string &claimId, std::string answer);
    /// The answer, if it is still kept.
    std::optional<std::string> find(const std::string &claimId) const;
    size_t bytes() const { return this->usedBytes; }

private:
    const size_t limitBytes;
    // Invariant: usedBytes is the sum of the answers' sizes and at most limitBytes; order names
    // each answer once.
    size_t usedBytes = 0;
    std::unordered_map<std::string, std::string> answers;
    std::deque<std::string> order;
};

} // namespace tray
