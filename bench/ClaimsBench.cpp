// Measures the writes per second and the commit latency of all claim shards at several request
// rates, in virtual time with a simulated object API.
#include "claims/ClaimOwners.h"
#include "claims/ClaimShard.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace tray {

namespace {

constexpr Duration ApiLatency = milliseconds(5);
constexpr Duration RequestDuration = milliseconds(200);
constexpr int MeasuredSeconds = 60;

struct ClaimStats
{
    uint64_t claims = 0;
    uint64_t writes = 0;
    uint64_t writtenBytes = 0;
    size_t largestObject = 0;
    std::vector<double> grantMs;
};

/// Simulates all claim shards, each with one owner, under a constant rate of new claims. Every
/// claim is finished after a fixed time.
class ClaimSimulation
{
public:
    ClaimSimulation(int claimsPerSecond, size_t answerBytes)
        : arrivalInterval(Duration(std::chrono::seconds(1)) / claimsPerSecond),
          answerBytes(answerBytes)
    {
        for (uint32_t shard = 0; shard < ClaimShards; ++shard)
            this->shards.push_back(std::make_unique<ClaimShard>(
                shard, "owner", ClaimShardSettings{}, [this] { return ++this->lastNonce; }));
        this->scheduledTimers.resize(ClaimShards);
    }

    ClaimStats run()
    {
        this->schedule(this->start, [this] { this->handleArrival(); });
        while (!this->events.empty() && this->now < this->start + MeasuredTime) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.act();
        }
        std::sort(this->stats.grantMs.begin(), this->stats.grantMs.end());
        return this->stats;
    }

private:
    struct Event
    {
        Instant time;
        // Events of the same time run in the order in which they were scheduled.
        uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(this->time, this->order);
        }
    };

    static constexpr Duration MeasuredTime = std::chrono::seconds(MeasuredSeconds);

    void schedule(Instant time, std::function<void()> act)
    {
        this->events.push(Event{time, ++this->lastOrder, std::move(act)});
    }

    WallMs wall() const { return static_cast<WallMs>(toMs(this->now.time_since_epoch())); }

    void handleArrival()
    {
        proto::ClaimBegin begin;
        begin.set_key(claimKey("client_account", std::to_string(++this->stats.claims)));
        begin.set_claim_id(claimKey("claim", std::to_string(this->stats.claims)));
        const uint32_t shard = claimShardOf(begin.key());
        this->pendingBegins[++this->lastWaiter] = {begin, this->now};
        this->shards[shard]->begin(begin, this->lastWaiter, this->now, this->wall());
        this->performActions(shard);
        this->schedule(this->now + this->arrivalInterval, [this] { this->handleArrival(); });
    }

    void recordGrant(uint64_t beginWaiter)
    {
        const auto found = this->pendingBegins.find(beginWaiter);
        if (found == this->pendingBegins.end())
            return;
        const auto [begin, sentAt] = found->second;
        this->pendingBegins.erase(found);
        this->stats.grantMs.push_back(static_cast<double>((this->now - sentAt).count()) / 1e6);
        proto::ClaimFinish finish;
        finish.mutable_record()->set_key(begin.key());
        finish.mutable_record()->set_claim_id(begin.claim_id());
        finish.mutable_record()->set_status(200);
        finish.mutable_record()->set_answer(std::string(this->answerBytes, 'a'));
        this->schedule(this->now + RequestDuration, [this, finish] {
            const uint32_t shard = claimShardOf(finish.record().key());
            this->shards[shard]->finish(finish, ++this->lastWaiter, this->now, this->wall());
            this->performActions(shard);
        });
    }

    void performActions(uint32_t shard)
    {
        for (const ClaimAction &action : this->shards[shard]->takeActions()) {
            if (action.kind == ClaimAction::Kind::Reply)
                this->recordGrant(action.id);
            else
                this->callApi(shard, action);
        }
        const auto timerAt = this->shards[shard]->nextTimer();
        if (!timerAt || this->scheduledTimers[shard] == timerAt)
            return;
        this->scheduledTimers[shard] = timerAt;
        this->schedule(*timerAt, [this, shard, timerAt] {
            if (this->scheduledTimers[shard] != timerAt)
                return;
            this->scheduledTimers[shard].reset();
            this->shards[shard]->onTimer(this->now, this->wall());
            this->performActions(shard);
        });
    }

    void callApi(uint32_t shard, const ClaimAction &action)
    {
        if (action.kind != ClaimAction::Kind::Read) {
            ++this->stats.writes;
            this->stats.writtenBytes += action.value.size();
            this->stats.largestObject = std::max(this->stats.largestObject, action.value.size());
        }
        this->schedule(this->now + ApiLatency, [this, shard, action] {
            ClaimShard &target = *this->shards[shard];
            if (action.kind == ClaimAction::Kind::Read)
                target.onRead(action.id, Error{ErrorKind::NotFound, "", 0}, this->now,
                              this->wall());
            else if (action.kind == ClaimAction::Kind::Write)
                target.onWritten(action.id, ++this->lastVersion, this->now, this->wall());
            this->performActions(shard);
        });
    }

    const Duration arrivalInterval;
    const size_t answerBytes;
    const Instant start{std::chrono::hours(1)};
    Instant now = start;
    std::priority_queue<Event> events;
    uint64_t lastOrder = 0;
    uint64_t lastNonce = 0;
    uint64_t lastVersion = 0;
    uint64_t lastWaiter = 0;
    std::vector<std::unique_ptr<ClaimShard>> shards;
    // Time of the scheduled timer of each shard.
    std::vector<std::optional<Instant>> scheduledTimers;
    std::map<uint64_t, std::pair<proto::ClaimBegin, Instant>> pendingBegins;
    ClaimStats stats;
};

void measure(int claimsPerSecond, size_t answerBytes)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const ClaimStats stats = ClaimSimulation(claimsPerSecond, answerBytes).run();
    const double elapsedSeconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    const auto quantile = [&](double q) {
        return stats
            .grantMs[static_cast<size_t>(q * static_cast<double>(stats.grantMs.size() - 1))];
    };
    std::printf(
        "claims_per_s=%d answer_bytes=%zu writes_per_s=%.1f written_mb_per_s=%.2f "
        "largest_object_kb=%.0f grant_ms_p50=%.1f grant_ms_p99=%.1f cpu_us_per_claim=%.1f\n",
        claimsPerSecond, answerBytes, static_cast<double>(stats.writes) / MeasuredSeconds,
        static_cast<double>(stats.writtenBytes) / MeasuredSeconds / 1e6,
        static_cast<double>(stats.largestObject) / 1e3, quantile(0.5), quantile(0.99),
        elapsedSeconds * 1e6 / static_cast<double>(stats.claims));
}

} // namespace

} // namespace tray

int main()
{
    for (const size_t answerBytes : {200, 2000}) {
        for (const int rate : {100, 1000, 3000})
            tray::measure(rate, answerBytes);
    }
    return 0;
}
