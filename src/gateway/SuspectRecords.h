// Keeps the confirmed suspects in the store, for gateways that start after all others have ended.
#pragma once

#include "fleet/FleetStore.h"

#include "suspects.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Reads the records of all data centres at the start, and writes that of the own one if this
/// process is its writer. Each data centre has its own record, as gateways that trust different
/// parts would otherwise overwrite each other's without end. Not thread-safe: used from the
/// gateway's thread only.
class SuspectRecords
{
public:
    /// Most suspects in one record.
    static constexpr size_t MaxSuspects = 40;
    /// Time after the start for which the gateway waits for the records before it is ready.
    static constexpr Duration MaxStartDelay = std::chrono::seconds(1);

    /// What the own gateway provides.
    struct Hooks
    {
        std::function<bool()> isWriter;
        /// Suspects that a process without trust in them refuses, at most the given number.
        std::function<std::vector<proto::Suspect>(size_t limit, Instant now)> confirmed;
        std::function<void(const proto::SuspectReport &stored, Instant now)> merge;
    };

    SuspectRecords(boost::asio::io_context &context, FleetStore &store, std::string dataCentre,
                   Hooks hooks)
        : context(context), store(store), dataCentre(std::move(dataCentre)), hooks(std::move(hooks))
    {}

    void start(Instant now);
    void stop() { this->isStopping = true; }
    /// Returns whether the gateway need not wait for the records: they were read, a call has
    /// failed, or MaxStartDelay has passed.
    bool isSettled(Instant now) const
    {
        return this->wasTried || now >= this->startedAt + MaxStartDelay;
    }

private:
    boost::asio::awaitable<void> keepLoop();
    boost::asio::awaitable<bool> readRecords();
    /// Writes the own record if the confirmed suspects have changed.
    boost::asio::awaitable<bool> writeRecord();

    boost::asio::io_context &context;
    FleetStore &store;
    const std::string dataCentre;
    const Hooks hooks;
    Instant startedAt{};
    bool wasTried = false;
    // Whether the records were read, and the suspects in them merged.
    bool isMerged = false;
    // Era of the store in which the own record was read; empty if it is to be read.
    std::optional<uint64_t> readEra;
    // The own record as it was read or written last: its revision, 0 if there is none, and its
    // suspects, without the time at which they expire.
    uint64_t revision = 0;
    std::string content;
    bool isStopping = false;
};

} // namespace tray
