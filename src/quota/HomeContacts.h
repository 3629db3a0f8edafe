// What this gateway has heard of the homes for which it is a substitute.
//
// A gateway that gets no reply in time asks the second one in the order, also if only messages were
// lost or late. The second one therefore finds out by probes whether the home is really silent.
#pragma once

#include "base/Time.h"

#include <map>
#include <string>

namespace tray {

class HomeContacts
{
public:
    /// Time between two probes, and time without an answer after which a home counts as silent. It
    /// covers a round trip between regions with one lost datagram.
    static constexpr Duration ProbeInterval = milliseconds(100);
    static constexpr Duration SilenceTime = milliseconds(300);
    /// Time after the last probe until a home has to be probed anew.
    static constexpr Duration Lifetime = std::chrono::seconds(2);

    /// Records a message from a gateway.
    void handleMessage(const std::string &gateway, Instant now)
    {
        const auto found = this->contacts.find(gateway);
        if (found != this->contacts.end())
            found->second.silentSince = now;
    }
    /// Returns whether a probe should be sent to a home now; the caller then sends it.
    bool startProbe(const std::string &home, Instant now)
    {
        std::erase_if(this->contacts,
                      [&](const auto &item) { return now >= item.second.probedAt + Lifetime; });
        const auto [item, isNew] = this->contacts.try_emplace(home, Contact{now, now});
        if (!isNew && now < item->second.probedAt + ProbeInterval)
            return false;
        item->second.probedAt = now;
        return true;
    }
    /// Returns whether a home has left all probes of SilenceTime without an answer.
    bool isSilent(const std::string &home, Instant now) const
    {
        const auto found = this->contacts.find(home);
        return found != this->contacts.end() && now >= found->second.silentSince + SilenceTime;
    }

private:
    struct Contact
    {
        // Last message, or the first probe.
        Instant silentSince{};
        Instant probedAt{};
    };

    std::map<std::string, Contact> contacts;
};

} // namespace tray
