// Admission of the gateways' requests at the engine, by datagrams.
#pragma once

#include "fleet/DatagramPort.h"
#include "fleet/OrderPort.h"
#include "observe/Metrics.h"
#include "schedule/EngineCapacity.h"
#include "schedule/EngineSchedule.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tray {

/// Passes asks, notes and reports to the schedule and sends its replies. Runs on the steward's
/// thread.
class AdmissionService
{
public:
    AdmissionService(boost::asio::io_context &context, DatagramPort &datagrams, Metrics &metrics);

    /// Registers the metrics and starts the loop that grants queued requests.
    void start();
    void stop();

    /// Applies what a version of the configuration states about the engine, unless a newer one is
    /// known.
    void noteConfig(uint64_t version, const EngineCapacity &stated, Instant now);
    /// Handles an ask for the engine beside this steward, and first what it states about the
    /// engine.
    void handleAsk(const proto::AdmissionAsk &ask, const std::string &sender,
                   const Address &replyTo, Instant now);
    void handleNote(const proto::AdmissionNote &note, const std::string &sender, Instant now);
    /// Notes that a gateway lives.
    void noteSender(const std::string &sender, Instant now);
    /// Applies a report, which states what the configuration does not.
    void noteReport(const EngineReport &report, Instant now);
    void noteEngineRestart();
    void noteProcessPause(Instant now);

    /// Adds to a snapshot what is known of the engine from the requests of all gateways.
    void describe(proto::EngineSnapshot &snapshot, Instant now) const;

private:
    boost::asio::awaitable<void> pollLoop();
    /// Sends what is due, and sets the time of the next poll.
    void step(Instant now);
    void logLimit(Instant now);

    boost::asio::io_context &context;
    DatagramPort &datagrams;
    Metrics &metrics;
    EngineSchedule schedule;
    ConfiguredCapacity configured;
    EngineCapacity reported;
    // Expires at the next poll; never while nothing is queued.
    boost::asio::steady_timer timer;
    bool stopping = false;
    // Limit in the last log line, in ms, and the time of that line.
    int64_t loggedLimitMs = 0;
    Instant loggedAt{};
};

} // namespace tray
