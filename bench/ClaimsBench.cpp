// Writes a second and commit latency of all claim shards at several request rates, in virtual time
// over a simulated object API.
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
constexpr Duration RequestTime = milliseconds(200);
constexpr int MeasuredSeconds = 60;

struct Figures
{
    uint64_t claims = 0;
    uint64_t writes = 0;
    uint64_t writtenBytes = 0;
    size_t largestObject = 0;
    std::vector<double> grantMs;
};

/// All shards with one owner each; every claim is finished after a fixed time.
class ClaimLoad
{
public:
    ClaimLoad(int claimsPerSecond, size_t answerBytes)
        : interval(Duration(std::chrono::seconds(1)) / claimsPerSecond), answerBytes(answerBytes)
    {
        for (uint32_t shard = 0; shard < ClaimShards; ++shard)
            this->shards.push_back(std::make_unique<ClaimShard>(
                shard, "owner", ClaimShardSettings{}, [this] { return ++this->nonce; }));
        this->timers.resize(ClaimShards);
    }

    Figures run()
    {
        this->at(this->start, [this] { this->arrive(); });
        while (!this->events.empty() && this->now < this->start + Seconds) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.act();
        }
        std::sort(this->figures.grantMs.begin(), this->figures.grantMs.end());
        return this->figures;
    }

private:
    struct Event
    {
        Instant time;
        uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(this->time, this->order);
        }
    };

    static constexpr Duration Seconds = std::chrono::seconds(MeasuredSeconds);

    void at(Instant time, std::function<void()> act)
    {
        this->events.push(Event{time, ++this->order, std::move(act)});
    }

    WallMs wall() const { return static_cast<WallMs>(toMs(this->now.time_since_epoch())); }

    void arrive()
    {
        proto::ClaimBegin begin;
        begin.set_key(claimKey("client_account", std::to_string(++this->figures.claims)));
        begin.set_claim_id(claimKey("claim", std::to_string(this->figures.claims)));
        const uint32_t shard = claimShardOf(begin.key());
        this->begins[++this->waiter] = {begin, this->now};
        this->shards[shard]->begin(begin, this->waiter, this->now, this->wall());
        this->pump(shard);
        this->at(this->now + this->interval, [this] { this->arrive(); });
    }

    void granted(uint64_t begun)
    {
        const auto found = this->begins.find(begun);
        if (found == this->begins.end())
            return;
        const auto [begin, sent] = found->second;
        this->begins.erase(found);
        this->figures.grantMs.push_back(static_cast<double>((this->now - sent).count()) / 1e6);
        proto::ClaimFinish finish;
        finish.mutable_record()->set_key(begin.key());
        finish.mutable_record()->set_claim_id(begin.claim_id());
        finish.mutable_record()->set_status(200);
        finish.mutable_record()->set_answer(std::string(this->answerBytes, 'a'));
        this->at(this->now + RequestTime, [this, finish] {
            const uint32_t shard = claimShardOf(finish.record().key());
            this->shards[shard]->finish(finish, ++this->waiter, this->now, this->wall());
            this->pump(shard);
        });
    }

    void pump(uint32_t shard)
    {
        for (const ClaimAction &action : this->shards[shard]->takeActions()) {
            if (action.kind == ClaimAction::Kind::Reply)
                this->granted(action.id);
            else
                this->callApi(shard, action);
        }
        const auto timer = this->shards[shard]->nextTimer();
        if (!timer || this->timers[shard] == timer)
            return;
        this->timers[shard] = timer;
        this->at(*timer, [this, shard, timer] {
            if (this->timers[shard] != timer)
                return;
            this->timers[shard].reset();
            this->shards[shard]->onTimer(this->now, this->wall());
            this->pump(shard);
        });
    }

    void callApi(uint32_t shard, const ClaimAction &action)
    {
        if (action.kind != ClaimAction::Kind::Read) {
            ++this->figures.writes;
            this->figures.writtenBytes += action.value.size();
            this->figures.largestObject =
                std::max(this->figures.largestObject, action.value.size());
        }
        this->at(this->now + ApiLatency, [this, shard, action] {
            ClaimShard &target = *this->shards[shard];
            if (action.kind == ClaimAction::Kind::Read)
                target.onRead(action.id, Error{ErrorKind::NotFound, "", 0}, this->now,
                              this->wall());
            else if (action.kind == ClaimAction::Kind::Write)
                target.onWritten(action.id, ++this->version, this->now, this->wall());
            this->pump(shard);
        });
    }

    const Duration interval;
    const size_t answerBytes;
    const Instant start{std::chrono::hours(1)};
    Instant now = start;
    std::priority_queue<Event> events;
    uint64_t order = 0;
    uint64_t nonce = 0;
    uint64_t version = 0;
    uint64_t waiter = 0;
    std::vector<std::unique_ptr<ClaimShard>> shards;
    std::vector<std::optional<Instant>> timers;
    std::map<uint64_t, std::pair<proto::ClaimBegin, Instant>> begins;
    Figures figures;
};

void measure(int claimsPerSecond, size_t answerBytes)
{
    const auto started = std::chrono::steady_clock::now();
    const Figures figures = ClaimLoad(claimsPerSecond, answerBytes).run();
    const double took =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    const auto quantile = [&](double q) {
        return figures
            .grantMs[static_cast<size_t>(q * static_cast<double>(figures.grantMs.size() - 1))];
    };
    std::printf(
        "claims_per_s=%d answer_bytes=%zu writes_per_s=%.1f written_mb_per_s=%.2f "
        "largest_object_kb=%.0f grant_ms_p50=%.1f grant_ms_p99=%.1f cpu_us_per_claim=%.1f\n",
        claimsPerSecond, answerBytes, static_cast<double>(figures.writes) / MeasuredSeconds,
        static_cast<double>(figures.writtenBytes) / MeasuredSeconds / 1e6,
        static_cast<double>(figures.largestObject) / 1e3, quantile(0.5), quantile(0.99),
        took * 1e6 / static_cast<double>(figures.claims));
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
