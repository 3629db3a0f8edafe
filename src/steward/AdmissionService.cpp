// Converts between datagrams and the schedule, and polls it while requests are queued.
#include "steward/AdmissionService.h"

#include "net/KeepRunning.h"
#include "observe/DecisionLog.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <cstdlib>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Smallest change of the limit that is logged, as a share, and the time between two lines.
constexpr double LoggedChange = 0.2;
constexpr Duration LogPeriod = std::chrono::seconds(1);

struct VerdictName
{
    AdmissionVerdict verdict;
    proto::AdmissionVerdict message;
};

constexpr auto VerdictMessages = std::to_array<VerdictName>({
    {AdmissionVerdict::Granted, proto::ADMISSION_GRANTED},
    {AdmissionVerdict::Queued, proto::ADMISSION_QUEUED},
    {AdmissionVerdict::Refused, proto::ADMISSION_REFUSED},
});

proto::AdmissionVerdict toMessage(AdmissionVerdict verdict)
{
    for (const auto &row : VerdictMessages) {
        if (row.verdict == verdict)
            return row.message;
    }
    return proto::ADMISSION_UNKNOWN;
}

/// Handlers of the notes by their stage.
using NoteHandler = void (*)(EngineSchedule &, const proto::AdmissionNote &, AdmissionKey, Instant);

struct StageHandler
{
    proto::AdmissionStage stage;
    NoteHandler handle;
};

constexpr auto StageHandlers = std::to_array<StageHandler>({
    {proto::ADMISSION_CANCELLED, [](EngineSchedule &schedule, const proto::AdmissionNote &,
                                    AdmissionKey key, Instant now) { schedule.cancel(key, now); }},
    {proto::ADMISSION_FIRST_EVENT,
     [](EngineSchedule &schedule, const proto::AdmissionNote &note, AdmissionKey key, Instant now) {
         schedule.noteFirstEvent(key, milliseconds(note.first_event_ms()), now);
     }},
    {proto::ADMISSION_ENDED,
     [](EngineSchedule &schedule, const proto::AdmissionNote &note, AdmissionKey key, Instant now) {
         schedule.noteEnd(
             key, {milliseconds(note.median_gap_ms()), milliseconds(note.longest_gap_ms())}, now);
     }},
});

} // namespace

AdmissionService::AdmissionService(asio::io_context &context, DatagramPort &datagrams,
                                   Metrics &metrics)
    : context(context), datagrams(datagrams), metrics(metrics), timer(context)
{
    this->timer.expires_at(Instant::max());
}

void AdmissionService::start()
{
    this->metrics.gauge("tray_steward_admission_queue",
                        [this] { return static_cast<double>(this->schedule.queueSize()); });
    this->metrics.gauge("tray_steward_admission_granted",
                        [this] { return static_cast<double>(this->schedule.grantedCount()); });
    this->metrics.gauge("tray_steward_admission_granted_tokens",
                        [this] { return static_cast<double>(this->schedule.grantedTokens()); });
    this->metrics.gauge("tray_steward_admission_prefill_limit_ms", [this] {
        return static_cast<double>(toMs(this->schedule.prefillLimit()));
    });
    this->metrics.gauge("tray_steward_admission_pace", [this] { return this->schedule.pace(); });
    keepRunning(this->context, "admission", [this] { return this->pollLoop(); });
}

void AdmissionService::stop()
{
    this->stopping = true;
    this->timer.cancel();
}

asio::awaitable<void> AdmissionService::pollLoop()
{
    while (!this->stopping) {
        const auto [code] = co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        // The wait also ends when the time of the next poll is changed.
        if (!code)
            this->step(clockNow());
    }
}

void AdmissionService::noteConfig(uint64_t version, const EngineCapacity &stated, Instant now)
{
    const EngineCapacity previous = this->configured.inForce(this->reported);
    this->configured.note(version, stated);
    const EngineCapacity present = this->configured.inForce(this->reported);
    if (present == previous)
        return;
    this->schedule.setCapacity(present);
    logDecision(LogPriority::Notable, now,
                fmt::format("event=admission_capacity config_version={} slots={} kv_tokens={}",
                            version, present.slots, present.kvTokens));
}

void AdmissionService::handleAsk(const proto::AdmissionAsk &ask, const std::string &sender,
                                 const Address &replyTo, Instant now)
{
    // Gateways of earlier versions state nothing.
    if (ask.has_capacity() && ask.has_config_version())
        this->noteConfig(ask.config_version(), {ask.capacity().slots(), ask.capacity().kv_tokens()},
                         now);
    AdmissionRequest request;
    request.key = {ask.incarnation(), ask.ticket()};
    request.sender = sender;
    request.replyTo = replyTo;
    request.priority = ask.priority();
    request.account = ask.account();
    request.prefill = std::chrono::microseconds(ask.prefill_us());
    request.kvTokens = ask.kv_tokens();
    request.limit = milliseconds(ask.limit_ms());
    request.deadline = milliseconds(ask.deadline_ms());
    request.eventGap = milliseconds(ask.event_gap_ms());
    request.fastestGap = std::chrono::microseconds(ask.fastest_gap_us());
    this->schedule.ask(request, now);
    this->step(now);
}

void AdmissionService::handleNote(const proto::AdmissionNote &note, const std::string &sender,
                                  Instant now)
{
    this->schedule.noteSender(sender, now);
    for (const auto &row : StageHandlers) {
        if (row.stage == note.stage())
            row.handle(this->schedule, note, {note.incarnation(), note.ticket()}, now);
    }
    this->step(now);
}

void AdmissionService::noteSender(const std::string &sender, Instant now)
{
    this->schedule.noteSender(sender, now);
}

void AdmissionService::noteReport(const EngineReport &report, Instant now)
{
    this->reported = {report.slots, report.kvTotalTokens};
    this->schedule.setCapacity(this->configured.inForce(this->reported));
    this->schedule.noteLoad(
        {report.running + report.waiting, report.kvUsedTokens, report.pacePercent}, now);
    this->step(now);
    this->logLimit(now);
}

void AdmissionService::describe(proto::EngineSnapshot &snapshot, Instant now) const
{
    constexpr double Percent = 100;
    // The report is some hundred ms old; granted requests that it does not show yet are running.
    snapshot.set_running(
        std::max(snapshot.running(), static_cast<uint32_t>(this->schedule.grantedCount())));
    snapshot.set_admission_wait_ms(
        static_cast<uint32_t>(toMs(this->schedule.expectedWaitOfNext(now))));
    snapshot.set_usual_gap_us(static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(this->schedule.usualGap()).count()));
    snapshot.set_pause_percent(
        static_cast<uint32_t>(std::lround(Percent * this->schedule.pauseShare(now))));
}

void AdmissionService::noteEngineRestart()
{
    this->schedule.noteEngineRestart();
}

void AdmissionService::noteProcessPause(Instant now)
{
    this->schedule.noteProcessPause(now);
}

void AdmissionService::step(Instant now)
{
    const auto step = this->schedule.poll(now);
    for (const auto &reply : step.replies) {
        if (!reply.isRepeated) {
            const auto label = fmt::format("verdict=\"{}\"", enumName(reply.verdict));
            this->metrics.counter("tray_steward_admissions_total", label).add();
        }
        proto::Datagram datagram;
        auto &message = *datagram.mutable_admission_reply();
        message.set_incarnation(reply.key.incarnation);
        message.set_ticket(reply.key.ticket);
        message.set_verdict(toMessage(reply.verdict));
        message.set_expected_ms(reply.expectedMs);
        this->datagrams.send(reply.replyTo, std::move(datagram));
    }
    const Instant nextAt = step.nextAt.value_or(Instant::max());
    if (nextAt != this->timer.expiry())
        this->timer.expires_at(nextAt);
}

void AdmissionService::logLimit(Instant now)
{
    const int64_t limitMs = toMs(this->schedule.prefillLimit());
    // A limit without granted requests is the whole interval and says nothing.
    if (this->schedule.grantedCount() == 0 || now < this->loggedAt + LogPeriod ||
        std::abs(limitMs - this->loggedLimitMs) <
            LoggedChange * static_cast<double>(this->loggedLimitMs))
        return;
    this->loggedLimitMs = limitMs;
    this->loggedAt = now;
    logDecision(LogPriority::Notable, now,
                fmt::format("event=admission_limit limit_ms={} pace={:.2f} queued={} granted={} "
                            "tokens={}",
                            limitMs, this->schedule.pace(), this->schedule.queueSize(),
                            this->schedule.grantedCount(), this->schedule.grantedTokens()));
}

} // namespace tray
