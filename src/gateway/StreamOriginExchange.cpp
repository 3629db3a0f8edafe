// Implements the records of streams and the search among their witnesses.
#include "gateway/StreamOriginExchange.h"

#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <fmt/format.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Time after which a query is sent again to the witnesses that have not answered; more than a round
// trip between regions.
constexpr Duration QueryResendInterval = milliseconds(150);
// Rows of one report at most, in bytes; with its other fields a report stays below the size limit
// of a datagram.
constexpr size_t MaxReportBytes = 8192;

} // namespace

Witnesses StreamOriginExchange::selectWitnesses(uint64_t stream, const std::string &service,
                                                const WitnessCounts &counts, Instant now) const
{
    Witnesses selected;
    if (this->peers.hasStewards(service)) {
        for (const auto *entry : selectWitnessEngines(stream, service, this->peers.upstreams(),
                                                      counts.stewardsPerVersion)) {
            const Address address = this->peers.stewardAddress(*entry);
            if (std::find(selected.stewards.begin(), selected.stewards.end(), address) ==
                selected.stewards.end())
                selected.stewards.push_back(address);
        }
    }
    selected.peers = selectWitnessPeers(stream, this->peers.livePeers(now), counts.peers);
    return selected;
}

void StreamOriginExchange::send(const proto::Datagram &datagram, const Witnesses &targets)
{
    for (const auto &steward : targets.stewards)
        this->peers.sendTo(datagram, steward);
    for (const auto &peer : targets.peers)
        this->peers.sendToPeer(datagram, peer);
}

void StreamOriginExchange::record(const std::string &requestId, const StreamOrigin &origin,
                                  Instant now)
{
    const uint64_t stream = streamDigest(requestId);
    this->origins.record(stream, origin, now);
    const Witnesses told = this->tellWitnesses(stream, origin, now);
    logDecision(LogPriority::Routine, now,
                fmt::format("event=stream_origin id={} digest={:016x} service={} software={} "
                            "expires_in_ms={} stewards={} peers={}",
                            LogText{requestId}, stream, LogText{origin.service},
                            origin.softwareVersion, toMs(origin.expiresAt - now),
                            told.stewards.size(), told.peers.size()));
}

Witnesses StreamOriginExchange::tellWitnesses(uint64_t stream, const StreamOrigin &origin,
                                              Instant now)
{
    Witnesses told = this->selectWitnesses(stream, origin.service, ToldWitnesses, now);
    proto::Datagram datagram;
    *datagram.mutable_stream_origins()->add_rows() = makeOriginRow(stream, origin, now);
    this->send(datagram, told);
    this->ledger.noteTold(stream, told, origin.expiresAt, now);
    return told;
}

void StreamOriginExchange::handleSteward(const Address &address, uint64_t incarnation, Instant now)
{
    this->tellAgain({{address}, {}}, this->ledger.noteSteward(address, incarnation, now), now);
}

void StreamOriginExchange::handlePeer(const std::string &peer, uint64_t incarnation, Instant now)
{
    this->tellAgain({{}, {peer}}, this->ledger.notePeer(peer, incarnation, now), now);
}

void StreamOriginExchange::tellAgain(const Witnesses &witness, const std::vector<uint64_t> &streams,
                                     Instant now)
{
    if (streams.empty())
        return;
    proto::Datagram datagram;
    size_t bytes = 0;
    size_t rows = 0;
    const auto flush = [&] {
        if (bytes > 0)
            this->send(datagram, witness);
        datagram.Clear();
        bytes = 0;
    };
    for (const uint64_t stream : streams) {
        const auto origin = this->origins.find(stream, now);
        if (!origin)
            continue;
        const auto row = makeOriginRow(stream, *origin, now);
        if (bytes + row.ByteSizeLong() > MaxReportBytes)
            flush();
        bytes += row.ByteSizeLong();
        ++rows;
        *datagram.mutable_stream_origins()->add_rows() = row;
    }
    flush();
    const std::string name =
        witness.peers.empty() ? toString(witness.stewards.front()) : witness.peers.front();
    logDecision(
        LogPriority::Notable, now,
        fmt::format("event=stream_witness_restarted witness={} streams={}", LogText{name}, rows));
}

void StreamOriginExchange::handleReport(const std::string &sender, const Address &address,
                                        const proto::StreamOriginReport &report, Instant now)
{
    this->origins.merge(sender, report, now);
    for (const auto &row : report.rows()) {
        for (auto &search : this->searches) {
            if (search.stream != row.digest())
                continue;
            std::erase(search.awaited.stewards, address);
            std::erase(search.awaited.peers, sender);
            search.reportArrived.notifyAll();
        }
    }
}

void StreamOriginExchange::handleAnswersDue()
{
    for (auto &search : this->searches)
        search.reportArrived.notifyAll();
}

void StreamOriginExchange::handleQuery(const proto::StreamOriginQuery &query,
                                       const Address &address, Instant now)
{
    proto::Datagram datagram;
    *datagram.mutable_stream_origins() = this->origins.answer(query, now);
    this->peers.sendTo(datagram, address);
}

asio::awaitable<void> StreamOriginExchange::askWitnesses(uint64_t stream, std::string service,
                                                         Instant limit)
{
    const Instant began = clockNow();
    Instant sendAt = began;
    const auto search = this->searches.insert(
        this->searches.end(),
        {stream, this->selectWitnesses(stream, service, AskedWitnesses, began),
         AsyncCondition(this->context)});
    const size_t asked = search->awaited.size();
    proto::Datagram query;
    query.mutable_stream_origin_query()->set_digest(stream);
    for (Instant now = began; now < limit && search->awaited.size() > 0 &&
                              !this->origins.find(stream, now) && !this->peers.areAnswersDue(now);
         now = clockNow()) {
        if (now >= sendAt) {
            this->send(query, search->awaited);
            sendAt = now + QueryResendInterval;
        }
        const Duration wait = std::min(sendAt, limit) - now;
        co_await search->reportArrived.waitFor(wait);
    }
    const Instant now = clockNow();
    logDecision(LogPriority::Notable, now,
                fmt::format("event=stream_origin_search digest={:016x} asked={} silent={} "
                            "known={} ms={}",
                            stream, asked, search->awaited.size(),
                            this->origins.find(stream, now).has_value(), toMs(now - began)));
    this->searches.erase(search);
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginExchange::findOrigin(std::string requestId,
                                                                              std::string service,
                                                                              bool isOnlyService,
                                                                              Instant limit)
{
    if (!requestId.empty()) {
        const uint64_t stream = streamDigest(requestId);
        if (!this->origins.find(stream, clockNow()) && this->searches.size() < MaxSearches) {
            const Instant askUntil = std::min(limit, clockNow() + MaxWitnessSearchTime);
            co_await this->askWitnesses(stream, service, askUntil);
        }
        if (auto known = this->origins.find(stream, clockNow())) {
            // The gateway at which the stream began may have ended, so that it tells no witness
            // again that restarts.
            if (!this->ledger.contains(stream))
                this->tellWitnesses(stream, *known, clockNow());
            co_return known;
        }
    }
    // Nobody knows the stream; it may go on only if no other version can have begun it.
    const Instant began = clockNow();
    std::optional<std::string> sole;
    if (isOnlyService) {
        const Instant checkUntil = std::min(limit, began + MaxVersionCheckTime);
        sole = co_await this->peers.findSoleVersion(service, checkUntil);
    }
    const Instant now = clockNow();
    logDecision(LogPriority::Notable, now,
                fmt::format("event=stream_origin_unknown resumes={} service={} sole_version={} "
                            "software={} ms={}",
                            requestId, LogText{service}, sole.has_value(), sole.value_or(""),
                            toMs(now - began)));
    if (!sole)
        co_return std::nullopt;
    co_return StreamOrigin{service, *sole, limit};
}

} // namespace tray
