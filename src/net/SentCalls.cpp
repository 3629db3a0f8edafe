// Keeps the calls that were sent in the order of their times and by their names.
#include "net/SentCalls.h"

#include <algorithm>
#include <cassert>

namespace tray {

void SentCalls::record(uint64_t call, uint64_t connection, Instant now)
{
    while (!this->calls.empty() &&
           (this->calls.size() >= MaxCalls || now - this->calls.front().at >= Lifetime))
        this->forgetFirst();
    this->calls.push_back({now, call, connection});
    this->connectionsByCall.emplace(call, connection);
}

bool SentCalls::contains(uint64_t call, uint64_t connection) const
{
    const auto [first, last] = this->connectionsByCall.equal_range(call);
    return std::any_of(first, last, [&](const auto &sent) { return sent.second == connection; });
}

void SentCalls::forgetFirst()
{
    const SentCall &oldest = this->calls.front();
    const auto [first, last] = this->connectionsByCall.equal_range(oldest.call);
    const auto found = std::find_if(
        first, last, [&](const auto &sent) { return sent.second == oldest.connection; });
    assert(found != last);
    this->connectionsByCall.erase(found);
    this->lastForgottenAt = oldest.at;
    this->calls.pop_front();
}

} // namespace tray
