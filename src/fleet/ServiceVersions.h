// Knows which software versions of each service may have begun the streams that callers still take
// up. A process that has just started cannot know what left before, so this rests on a record in
// the store beside the instance list.
#pragma once

#include "fleet/FleetConfig.h"
#include "fleet/Upstream.h"

#include <map>
#include <optional>
#include <set>

namespace tray {

/// Returns the text of a service's record: its versions, each as "v" and hexadecimal digits.
std::string formatVersionRecord(const std::set<std::string> &versions);
/// Returns the versions in a record, or nothing if it is malformed.
std::optional<std::set<std::string>> parseVersionRecord(std::string_view text);

/// The versions of all services. Does no I/O: what was read and the time are arguments.
class ServiceVersions
{
public:
    /// Time for which a version may have live streams after it left, in addition to the longest
    /// time for which callers wait for a stream.
    static constexpr Duration LifetimeMargin = std::chrono::seconds(10);
    /// Time without a complete list in which a version cannot come, begin streams and leave again.
    static constexpr Duration MaxListGap = std::chrono::seconds(6);

    /// Handles a configuration; the longest timeout of a resumable route in any of them counts.
    void handleConfig(const FleetConfig &config);
    /// Handles the complete present list.
    void handleList(const std::map<std::string, UpstreamEntry> &entries, Instant now);
    /// Handles a version that the list has named since the last complete one, also if its upstream
    /// has left again.
    void handleListedVersion(const std::string &service, const std::string &version, Instant now);
    /// Records that the list may have named versions that this process has not seen.
    void noteHistoryGap();
    /// Records that the list and the records have been read completely by calls that began at the
    /// given time.
    void noteChecked(Instant askedAt) { this->checkedAsOf = askedAt; }
    /// Time from which on no version can have joined without being known; set by noteChecked().
    Instant knownAsOf() const { return this->checkedAsOf; }
    /// Records that the list is known to be complete now. Returns false if it was not for
    /// MaxListGap or longer: versions may have come and gone meanwhile, so that absences count from
    /// now on.
    bool confirmList(Instant now);
    /// Handles the text of a service's record. If it is malformed, versions that it named may have
    /// live streams for a whole lifetime from now on.
    void handleRecord(const std::string &service, std::string_view text, Instant now);
    /// Records that the service's record has been written. Without a record, versions that left
    /// before this process started are not known.
    void noteRecordWritten(const std::string &service) { this->known[service].hasRecord = true; }
    /// Call this when all records have been read.
    void handleRecordsRead() { this->recordsRead = true; }
    /// Records that the records may lack versions, because the store was restored from a copy after
    /// they were written. No version is known to be the only one for a whole lifetime from now on.
    void noteIncompleteRecords(Instant now) { this->recordsIncompleteAt = now; }
    /// Forgets the versions that this process has seen absent for a whole lifetime.
    void expire(Instant now);

    /// Returns the only version of the service that can have begun a stream before the given time;
    /// nothing if there are several or none, or if that is not known as of that time. A process out
    /// of step does not see a version that joins and begins streams elsewhere, however recent its
    /// list is.
    std::optional<std::string> soleVersion(const std::string &service, Instant asOf) const;
    /// Services with versions or a record.
    std::vector<std::string> services() const;
    /// Versions that may have live streams, as far as they are known.
    std::set<std::string> versionsOf(const std::string &service) const;
    /// Whether the service's record can be written without losing what a malformed one named.
    bool mayWriteRecord(const std::string &service) const;

private:
    struct Service
    {
        // Time since which a version is absent from the list; empty while it is listed.
        std::map<std::string, std::optional<Instant>> absentSince;
        // Versions that this process has seen absent for a whole lifetime, with the time of that. A
        // record may still name them; that does not bring them back. Kept for a lifetime.
        std::map<std::string, Instant> expired;
        bool hasRecord = false;
        // Time at which a malformed record was read.
        std::optional<Instant> malformedAt;
    };

    std::map<std::string, Service> known;
    // Longest timeout of a resumable route; not set before the first configuration.
    std::optional<Duration> longestTimeout;
    bool listRead = false;
    bool recordsRead = false;
    // Time at which records were read that may lack versions.
    std::optional<Instant> recordsIncompleteAt;
    Instant listConfirmedAt{};
    Instant checkedAsOf{};
};

} // namespace tray
