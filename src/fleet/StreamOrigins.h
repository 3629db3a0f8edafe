// Remembers which software version began each stream that callers may take up again. Upstreams of
// one version can continue each other's streams; those of different versions cannot.
#pragma once

#include "base/Time.h"

#include "fleet.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace tray {

/// The upstream software that brought the first event of a stream.
struct StreamOrigin
{
    std::string service;
    /// Empty if no upstream fits the stream, because its upstream may have restarted with another
    /// version while it answered.
    std::string softwareVersion;
    /// Time from which no caller takes the stream up any more.
    Instant expiresAt{};
};

/// Returns the key of a stream: a digest of the id of the caller's attempt that brought its first
/// event.
uint64_t streamDigest(std::string_view requestId);

/// Returns the row that tells another process the origin of a stream.
proto::StreamOriginRow makeOriginRow(uint64_t stream, const StreamOrigin &origin, Instant now);

/// Bounded table of the origins of streams; the oldest are evicted first.
class StreamOrigins
{
public:
    /// Origins that are kept at most. At 150 bytes each they take 5 MB; they cover a minute of 500
    /// new streams per second.
    static constexpr size_t MaxOrigins = 30000;

    /// Records the origin of a stream, in place of an earlier record of the same stream.
    void record(uint64_t stream, StreamOrigin origin, Instant now);
    /// Records the origins that another process has reported, and logs each one. What this process
    /// knows already stays if no upstream fits the stream any more: the report may be older.
    void merge(const std::string &sender, const proto::StreamOriginReport &report, Instant now);
    /// Returns the answer to a query, also if the origin is not known.
    proto::StreamOriginReport answer(const proto::StreamOriginQuery &query, Instant now) const;
    /// Returns the origin of a stream unless it is unknown or has expired.
    std::optional<StreamOrigin> find(uint64_t stream, Instant now) const;
    size_t size() const { return this->origins.size(); }

private:
    /// Longest names of a service and a version together that are taken from a report, in bytes.
    static constexpr size_t MaxNameBytes = 512;

    void evict(Instant now);

    std::unordered_map<uint64_t, StreamOrigin> origins;
    // Streams in the order in which they were first recorded. Invariant: the same keys as origins.
    std::deque<uint64_t> order;
};

} // namespace tray
