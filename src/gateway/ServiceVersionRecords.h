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
    /// What the own gateway provides.
    struct Hooks
    {
        std::function<bool()> isWriter;
        /// Store revision up to which the gateway knows the list; 0 if it knows none.
        std::function<uint64_t()> listRevision;
        /// Whether the list names all running upstreams, as far as the gateway knows: not while
        /// entries may have lapsed or been lost in a restore.
        std::function<bool(Instant now)> isListReliable;
        /// Whether an upstream of the service may have another version than the list names.
        std::function<bool(const std::string &service)> hasDoubtedUpstream;
    };

    ServiceVersionRecords(boost::asio::io_context &context, FleetStore &store, Hooks hooks)
        : context(context), store(store), hooks(std::move(hooks)), changed(context),
          checkRequested(context), checkEnded(context)
    {}

    void start();
    void stop();
    void handleConfig(const FleetConfig &config);
    void handleList(const std::map<std::string, UpstreamEntry> &entries, Instant now);
    /// Records that the list is known to be complete now. Reads the records again if it was not for
    /// a while.
    void confirmList(Instant now);
    /// Reads the records again: others may have seen versions while this process was out of touch.
    void requestRead();
    /// Call this if changes of the list may have been missed.
    void noteHistoryGap() { this->versions.noteHistoryGap(); }
    /// Handles changes of the list, in their order.
    void handleListChanges(const std::vector<UpstreamChange> &changes, Instant now);
    /// Returns the only version of the service that can have begun a stream before this call, or
    /// nothing if that cannot be known by the given time. Asks the store, as another instance may
    /// have seen a version that this one has not heard of; one question serves all that wait.
    boost::asio::awaitable<std::optional<std::string>> findSoleVersion(std::string service,
                                                                       Instant limit);
    /// Ends the waits for checks, because the requests that wait must get their final responses.
    void handleAnswersDue();

private:
    struct KnownRecord
    {
        std::string text;
        uint64_t revision = 0;
        // Era of the store in which the record was written.
        uint64_t era = 0;
    };

    boost::asio::awaitable<void> keepLoop();
    boost::asio::awaitable<void> checkLoop();
    /// Reads what the list and the records name. Returns whether all versions are known now that
    /// had joined when the check began.
    boost::asio::awaitable<bool> check();
    /// Reads the versions that the list has named since the revision that the gateway knows.
    boost::asio::awaitable<bool> checkList();
    boost::asio::awaitable<bool> readRecords();
    /// Whether the records were written before the store's last restore, which may have undone
    /// later writes.
    bool areRecordsOutdated() const;
    boost::asio::awaitable<bool> writeRecords();
    /// Returns the text that a service's record is to have; empty if it need not be written.
    std::string textToWrite(const std::string &service) const;
    /// Reads a record that another process has written, or that the store has lost.
    boost::asio::awaitable<bool> readAfterConflict(std::string service);
    void handleRecord(const Record &record, Instant now);
    /// Logs the versions of each service if they have changed, and wakes the loop.
    void noteChanges(std::string_view source, Instant now);

    boost::asio::io_context &context;
    FleetStore &store;
    const Hooks hooks;
    ServiceVersions versions;
    // Records as they were read or written last, by service.
    std::map<std::string, KnownRecord> records;
    // Services of the configuration. Entries of the list may name others, which get no record.
    std::set<std::string> configuredServices;
    // Texts of records that the store has refused for good, by service.
    std::map<std::string, std::string> refusedTexts;
    // Versions that were logged last, by service.
    std::map<std::string, std::set<std::string>> loggedVersions;
    AsyncCondition changed;
    AsyncCondition checkRequested;
    AsyncCondition checkEnded;
    // Number of searches for a sole version that wait for a check, and the newest time as of which
    // one of them must know the versions.
    size_t waitingSearches = 0;
    Instant wantedAsOf{};
    bool areAnswersDue = false;
    // Era of the store in which the records were read; empty if they are to be read.
    std::optional<uint64_t> readEra;
    bool hasReadRecords = false;
    bool isStopping = false;
};

} // namespace tray
