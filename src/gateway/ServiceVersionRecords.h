// Keeps the software versions of each service that may have live streams in the store, for gateways
// that start after a version has left.
#pragma once

#include "fleet/FleetStore.h"
#include "fleet/ServiceVersions.h"
#include "gateway/AsyncCondition.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tray {

/// Reads all records at the start and when they may have changed, and writes those that differ from
/// what this process knows if it is the writer of its data centre. Not thread-safe: used from the
/// gateway's thread only.
class ServiceVersionRecords
{
public:
    ServiceVersionRecords(boost::asio::io_context &context, FleetStore &store,
                          std::function<bool()> isWriter)
        : context(context), store(store), isWriter(std::move(isWriter)), changed(context)
    {}

    void start();
    void stop();
    void handleConfig(const FleetConfig &config) { this->versions.handleConfig(config); }
    void handleList(const std::map<std::string, UpstreamEntry> &entries, Instant now);
    /// Records that the list is known to be complete now. Reads the records again if it was not for
    /// a while.
    void confirmList(Instant now);
    /// Reads the records again: others may have seen versions while this process was out of touch.
    void requestRead();
    /// Returns the only version of the service that can have begun a live stream, if that is known.
    std::optional<std::string> soleVersion(const std::string &service, Instant now) const
    {
        return this->versions.soleVersion(service, now);
    }

private:
    struct KnownRecord
    {
        std::string text;
        uint64_t revision = 0;
        // Era of the store in which the record was written.
        uint64_t era = 0;
    };

    boost::asio::awaitable<void> keepLoop();
    boost::asio::awaitable<bool> readRecords();
    /// Whether the records were written before the store's last restore, which may have undone
    /// later writes.
    bool areRecordsOutdated() const;
    boost::asio::awaitable<bool> writeRecords();
    /// Reads a record that another process has written, or that the store has lost.
    boost::asio::awaitable<bool> readAfterConflict(std::string service);
    void handleRecord(const Record &record, Instant now);
    /// Logs the versions of each service if they have changed, and wakes the loop.
    void noteChanges(std::string_view source, Instant now);

    boost::asio::io_context &context;
    FleetStore &store;
    const std::function<bool()> isWriter;
    ServiceVersions versions;
    // Records as they were read or written last, by service.
    std::map<std::string, KnownRecord> records;
    // Versions that were logged last, by service.
    std::map<std::string, std::set<std::string>> loggedVersions;
    AsyncCondition changed;
    // Era of the store in which the records were read; empty if they are to be read.
    std::optional<uint64_t> readEra;
    bool hasReadRecords = false;
    bool isStopping = false;
};

} // namespace tray
