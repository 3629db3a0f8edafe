// The upstreams that may get work, kept from a list that can fail and lose entries.
#pragma once

#include "fleet/Upstream.h"

#include <map>

namespace tray {

/// One change of the instance list.
struct UpstreamChange
{
    bool removed = false;
    /// Only the id is set if the entry was removed.
    UpstreamEntry entry;
};

/// What happened to an upstream as far as its users are concerned.
enum class UpstreamEvent : uint8_t { Added, Updated, Restarted, Draining, Missing, Removed };

template <>
struct EnumNames<UpstreamEvent>
{
    static constexpr auto Table = std::to_array<EnumName<UpstreamEvent>>({
        {UpstreamEvent::Added, "added"},
        {UpstreamEvent::Updated, "updated"},
        {UpstreamEvent::Restarted, "reborn"},
        {UpstreamEvent::Draining, "draining"},
        {UpstreamEvent::Missing, "lapsed"},
        {UpstreamEvent::Removed, "gone"},
    });
};

struct UpstreamNotice
{
    UpstreamEvent event;
    std::string id;
};

/// Applies what the store says. An entry that vanishes while the store is disturbed says nothing of
/// the upstream: it stays in use until the store has been back for long enough to list it again.
class UpstreamDirectory
{
public:
    /// Time after the store's return within which live upstreams are listed again.
    static constexpr Duration RelistGracePeriod = milliseconds(2300);

    using Notices = std::vector<UpstreamNotice>;

    /// A call to the store that began then was not answered, or refused. False if that tells
    /// nothing new.
    bool noteStoreFailure(Instant calledAt);
    /// The store answered. Call before what the answer says is applied.
    void noteStoreAnswer(Instant now);
    /// Takes over a whole list.
    Notices replaceAll(const std::vector<UpstreamEntry> &entries, Instant now);
    /// Takes over one change.
    Notices apply(const UpstreamChange &change, Instant now);
    /// Drops the lapsed entries whose time is over.
    Notices removeExpired(Instant now);

    /// An entry that vanishes now may be listed again.
    bool isListUnreliable(Instant now) const;

    const std::map<std::string, UpstreamEntry> &entries() const { return this->current; }

private:
    Notices remove(const std::string &id, Instant now);

    std::map<std::string, UpstreamEntry> current;
    // Entries that vanished while the store was disturbed, with the time at which they are gone.
    // Invariant: each key is also a key of current.
    std::map<std::string, Instant> lapsed;
    bool failing = false;
    // Time of the store's return after its last failure; none if it never failed.
    std::optional<Instant> returnedAt;
};

} // namespace tray
