// Stores answers up to a size limit and evicts the oldest ones first.
#include "claims/ClaimAnswers.h"

#include <cassert>

namespace tray {

void ClaimAnswers::put(const std::string &claimId, std::string answer)
{
    if (answer.size() > this->limitBytes || this->answers.contains(claimId))
        return;
    while (this->usedBytes + answer.size() > this->limitBytes) {
        assert(!this->order.empty());
        const auto oldest = this->answers.find(this->order.front());
        this->usedBytes -= oldest->second.size();
        this->answers.erase(oldest);
        this->order.pop_front();
    }
    this->usedBytes += answer.size();
    this->answers.emplace(claimId, std::move(answer));
    this->order.push_back(claimId);
}

std::optional<std::string> ClaimAnswers::find(const std::string &claimId) const
{
    const auto found = this->answers.find(claimId);
    if (found == this->answers.end())
        return std::nullopt;
    return found->second;
}

} // namespace tray
