// Stamps of this gateway's subscriptions to stewards. A snapshot that repeats a stamp rests on a
// report that the engine gave after the subscription was sent, whatever the clocks and the network
// do.
#pragma once

#include "base/Hash.h"
#include "base/Time.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace tray {

/// The last stamps, and when they were first sent.
class SubscriptionStamps
{
public:
    /// Returns the stamp of the subscriptions that are sent from now on. Stamps of other
    /// incarnations of this instance differ from it.
    uint64_t renew(Instant now)
    {
        this->sent.push_back({newNonce(), now});
        if (this->sent.size() > MaxStamps)
            this->sent.pop_front();
        return this->sent.back().stamp;
    }
    /// Returns the present stamp; 0 before the first one.
    uint64_t present() const { return this->sent.empty() ? 0 : this->sent.back().stamp; }
    /// Returns the time at which a stamp was first sent, or nothing if it is unknown or too old.
    std::optional<Instant> sentAt(uint64_t stamp) const
    {
        const auto found =
            std::find_if(this->sent.begin(), this->sent.end(),
                         [&](const Sent &candidate) { return candidate.stamp == stamp; });
        return found == this->sent.end() ? std::nullopt : std::optional(found->at);
    }

private:
    /// Stamps that are kept; more than are renewed within the lifetime of a subscription.
    static constexpr size_t MaxStamps = 16;

    struct Sent
    {
        uint64_t stamp = 0;
        Instant at{};
    };

    std::deque<Sent> sent;
};

} // namespace tray
