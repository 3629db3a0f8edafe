// Probes of upstreams, and the spread of suspects between gateways.
#include "gateway/SuspectExchange.h"

#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Time within which a host refuses a connection to a process that has ended. It covers a round trip
// between regions.
constexpr Duration ProbeTimeout = milliseconds(600);
// Number of probes that an upstream resets before it counts as running, and the time between them:
// an upstream that ends may reset a connection just before its port closes.
constexpr int MaxResetProbes = 3;
constexpr Duration ResetProbeInterval = milliseconds(50);

void logSuspects(const std::vector<proto::Suspect> &suspects, std::string_view source, Instant now)
{
    for (const auto &suspect : suspects)
        logDecision(
            LogPriority::Notable, now,
            fmt::format(
                "event={} digest={:016x} crashes={} rounds={} isolated={} probes={} source={} "
                "remaining_ms={}",
                suspect.cleared() ? "suspect_cleared" : "suspect", suspect.digest(),
                suspect.crashes(), suspect.rounds(), suspect.isolated(), suspect.probes(), source,
                suspect.remaining_ms()));
}

} // namespace

void SuspectExchange::handleBreak(const SuspectIdentity &request, const std::string &requestId,
                                  const UpstreamEntry &upstream, Instant sentAt, Instant now)
{
    // An upstream that leaves closes its connections as planned.
    if (upstream.phase == UpstreamPhase::Draining)
        return;
    this->tracker.recordBreak(request, upstream.id,
                              fmt::format("{}@{}", upstream.id, upstream.startedAtMs), sentAt, now);
    logDecision(LogPriority::Notable, now,
                fmt::format("event=connection_broke id={} digest={:016x} upstream={} crashes={} "
                            "suspect_parts={}",
                            LogText{requestId}, request.contentDigest, LogText{upstream.id},
                            this->tracker.crashCount(request.contentDigest, now),
                            request.partDigests.size()));
    this->probe(upstream);
}

void SuspectExchange::probe(const UpstreamEntry &upstream)
{
    if (this->probed.insert(upstream.id).second)
        keepRunning(
            this->context, "probe_upstream",
            [this, id = upstream.id, startedAtMs = upstream.startedAtMs,
             address = upstream.address] { return this->runProbe(id, startedAtMs, address); });
}

asio::awaitable<void> SuspectExchange::runProbe(std::string upstream, uint64_t startedAtMs,
                                                Address address)
{
    // A connection may break while a probe is under way, which then says nothing about that break.
    bool isOpen = true;
    int resets = 0;
    while (isOpen) {
        const Instant began = clockNow();
        const ProbeResult result = co_await this->client.probe(address, ProbeTimeout);
        logDecision(LogPriority::Notable, clockNow(),
                    fmt::format("event=probe upstream={} result={} ms={}", LogText{upstream},
                                enumName(result), toMs(clockNow() - began)));
        resets = result == ProbeResult::Reset ? resets + 1 : 0;
        if (resets > 0 && resets < MaxResetProbes) {
            co_await pauseFor(ResetProbeInterval);
            continue;
        }
        if (result == ProbeResult::Refused) {
            this->peers.upstreamRefused(upstream, startedAtMs);
            this->handleUpstreamEnd(upstream, clockNow());
        }
        const bool isRunning = result == ProbeResult::Accepted || result == ProbeResult::Reset;
        isOpen = isRunning && this->tracker.recordAlive(upstream, began);
        resets = 0;
    }
    this->probed.erase(upstream);
    this->peers.upstreamProbed();
}

void SuspectExchange::handleUpstreamEnd(const std::string &upstream, Instant now)
{
    this->announce(this->tracker.recordEnd(upstream, now), now);
}

void SuspectExchange::handleCompletion(uint64_t contentDigest, Instant now)
{
    this->announce(this->tracker.recordCompletion(contentDigest, now), now);
}

void SuspectExchange::handleSoundAnswer(const std::vector<uint64_t> &partDigests, Instant now)
{
    this->announce(this->tracker.recordSoundAnswer(partDigests, now), now);
}

void SuspectExchange::handleProbe(const std::vector<uint64_t> &digests,
                                  const std::string &requestId, Instant now)
{
    for (const uint64_t digest : digests)
        logDecision(
            LogPriority::Notable, now,
            fmt::format("event=suspect_probe id={} digest={:016x}", LogText{requestId}, digest));
    this->announce(this->tracker.recordProbes(digests, now), now);
}

void SuspectExchange::announce(const std::vector<proto::Suspect> &changes, Instant now)
{
    logSuspects(changes, "own", now);
    this->forEachDatagram(changes, [this](const proto::Datagram &datagram) {
        this->peers.sendToDataCentre(datagram);
        this->peers.sendToOthers(datagram, this->periodicRuns);
    });
}

void SuspectExchange::handleReport(const std::string &sender, const proto::SuspectReport &report,
                                   Instant now)
{
    if (report.wants_all()) {
        proto::Datagram empty;
        empty.mutable_suspects();
        // The answer is sent even if there are no suspects, so that the peer stops asking.
        this->peers.sendTo(empty, sender);
        this->forEachDatagram(
            this->tracker.recentChanges(now, true),
            [&](const proto::Datagram &datagram) { this->peers.sendTo(datagram, sender); });
    } else {
        this->hasPeerAnswer = true;
    }
    const auto changes = this->tracker.merge(report, now);
    logSuspects(changes, sender, now);
    // The sender has told its own data centre itself.
    if (!this->peers.isInDataCentre(sender))
        this->forEachDatagram(changes, [this](const proto::Datagram &datagram) {
            this->peers.sendToDataCentre(datagram);
        });
}

void SuspectExchange::handleStored(const proto::SuspectReport &stored, Instant now)
{
    logSuspects(this->tracker.merge(stored, now), "store", now);
}

void SuspectExchange::runPeriodic(Instant now)
{
    this->tracker.expire(now);
    ++this->periodicRuns;
    if (!this->hasPeerAnswer) {
        proto::Datagram question;
        question.mutable_suspects()->set_wants_all(true);
        this->peers.sendToOne(question, this->periodicRuns);
        this->peers.sendToOthers(question, this->periodicRuns);
    }
    this->forEachDatagram(this->tracker.recentChanges(now, false),
                          [this](const proto::Datagram &datagram) {
                              this->peers.sendToOne(datagram, this->periodicRuns);
                              this->peers.sendToOthers(datagram, this->periodicRuns);
                          });
    this->forEachDatagram(this->tracker.takeNextConfirmed(MaxSuspectsPerDatagram, now),
                          [this](const proto::Datagram &datagram) {
                              this->peers.sendToOne(datagram, this->periodicRuns + 1);
                              this->peers.sendToOthers(datagram, this->periodicRuns + 1);
                          });
}

void SuspectExchange::forEachDatagram(
    const std::vector<proto::Suspect> &suspects,
    const std::function<void(const proto::Datagram &datagram)> &send)
{
    for (size_t first = 0; first < suspects.size(); first += MaxSuspectsPerDatagram) {
        proto::Datagram datagram;
        const size_t end = std::min(suspects.size(), first + MaxSuspectsPerDatagram);
        for (size_t i = first; i < end; ++i)
            *datagram.mutable_suspects()->add_suspects() = suspects[i];
        send(datagram);
    }
}

} // namespace tray
