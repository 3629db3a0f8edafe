// Protocol-independent interface of the platform's store: configuration, instance list and records.
// All revisions are positions that only rise (fleet/StorePosition.h).
#pragma once

#include "base/Result.h"
#include "fleet/FleetConfig.h"
#include "fleet/StorePosition.h"
#include "fleet/UpstreamDirectory.h"

#include <boost/asio/awaitable.hpp>

namespace tray {

/// The newest configuration and the store's revision at which it was read.
struct ConfigSnapshot
{
    std::shared_ptr<const FleetConfig> config;
    uint64_t revision = 0;
};

/// The instance list and the store's revision at which it was read.
struct UpstreamListSnapshot
{
    std::vector<UpstreamEntry> entries;
    uint64_t revision = 0;
};

/// Changes since a revision; empty if there were none while the call waited.
struct UpstreamChanges
{
    std::vector<UpstreamChange> changes;
    uint64_t revision = 0;
};

/// A small object that the system itself stores.
struct Record
{
    std::string name;
    std::string text;
    /// Store revision of the record's last change.
    uint64_t revision = 0;
};

/// Calls fail with PlatformUnavailable, with Stale if the store no longer has the requested
/// history or has been restored from a copy since, with NotFound, with VersionConflict, or with
/// BadRequest if the store refuses the call for good.
class FleetStore
{
public:
    template <typename T>
    using Awaitable = boost::asio::awaitable<Result<T>>;

    virtual ~FleetStore() = default;

    /// Era of the store's history according to its answers; rises when the store has been restored
    /// from an older copy. 0 before the first answer.
    virtual uint64_t era() const = 0;
    /// Reads the newest configuration; NotFound before the operators have written the first one.
    virtual Awaitable<ConfigSnapshot> readConfig() = 0;
    /// Waits for a configuration that was written after a revision. The config is null if none was
    /// written within the given time.
    virtual Awaitable<ConfigSnapshot> awaitConfig(uint64_t revision, Duration wait) = 0;
    virtual Awaitable<UpstreamListSnapshot> readUpstreams() = 0;
    virtual Awaitable<UpstreamChanges> awaitUpstreams(uint64_t revision, Duration wait) = 0;

    virtual Awaitable<Record> readRecord(std::string collection, std::string name) = 0;
    virtual Awaitable<std::vector<Record>> listRecords(std::string collection) = 0;
    /// Writes a record if its revision in the store is still the given one; 0 creates it. Fails
    /// with VersionConflict if that revision is of an earlier era. Returns the new revision. After
    /// PlatformUnavailable the write may have taken effect, or may do so later.
    virtual Awaitable<uint64_t> writeRecord(std::string collection, Record record) = 0;
};

} // namespace tray
