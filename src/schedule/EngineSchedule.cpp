// Keeps the queue and the granted requests, and grants in order while prefill, slots and memory
// allow it.
#include "schedule/EngineSchedule.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace tray {

namespace {

// Accepted pause while no stream is running.
constexpr Duration DefaultInterval = milliseconds(300);
constexpr Duration MinInterval = milliseconds(50);
// Lower bound on the cost of a prompt: the engine takes at least a step for it.
constexpr Duration MinCost = milliseconds(1);
// Part of the engine's memory that is granted. An engine without memory recomputes a whole prompt.
constexpr double KvShare = 0.95;
constexpr uint32_t QueuePerSlot = 4;
// Slots for the bound of the queue while they are unknown.
constexpr uint32_t DefaultSlots = 64;
constexpr uint32_t PriorityCount = 10;
// Time for which a report describes the engine's load.
constexpr Duration LoadLifetime = std::chrono::seconds(1);
// Closed requests that are remembered, which is more than end within the lifetime of a datagram.
constexpr size_t MaxClosed = 1024;
constexpr double ReleaseWeight = 0.1;
// Longest time between two ends that counts; a longer one shows an idle engine.
constexpr double MaxReleaseIntervalMs = 2000;

double toMsExact(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Whether the first event shows the end of the prefill; other answers arrive when all their output
/// is generated.
bool isStream(const AdmissionRequest &request)
{
    return request.eventGap > Duration{};
}

double fairCostOf(const AdmissionRequest &request)
{
    return toMsExact(std::max(request.prefill, MinCost));
}

} // namespace

void EngineSchedule::setCapacity(const EngineCapacity &capacity)
{
    if (this->capacity == capacity)
        return;
    this->capacity = capacity;
    // An idle engine takes any request, also one that its memory cannot hold.
    std::erase_if(this->waiting, [&](const Waiter &waiter) {
        if (!this->exceedsMemory(waiter.request))
            return false;
        this->refuse(waiter, AdmissionReply::Never);
        this->fairOrder.noteWithdrawn(waiter.request.account, fairCostOf(waiter.request));
        return true;
    });
}

void EngineSchedule::ask(const AdmissionRequest &request, Instant now)
{
    if (this->closed.contains(request.key) || !this->acceptSender(request, now))
        return;
    this->learntPace.noteFastestGap(request.fastestGap);
    if (const auto found = this->granted.find(request.key); found != this->granted.end()) {
        this->replies.push_back({request.key, request.replyTo, AdmissionVerdict::Granted, 0, true});
        return;
    }
    const auto queued =
        std::find_if(this->waiting.begin(), this->waiting.end(),
                     [&](const Waiter &waiter) { return waiter.request.key == request.key; });
    if (queued != this->waiting.end()) {
        queued->askedAt = now;
        queued->request.replyTo = request.replyTo;
        queued->isReplyDue = true;
        return;
    }
    if (this->exceedsMemory(request)) {
        this->replies.push_back({request.key, request.replyTo, AdmissionVerdict::Refused,
                                 AdmissionReply::Never, false});
        return;
    }
    Waiter waiter{request, this->nextNumber++, now, now, 0};
    waiter.request.priority = std::min(request.priority, PriorityCount - 1);
    waiter.fairTag = this->fairOrder.enqueue(request.account, fairCostOf(request));
    this->waiting.push_back(std::move(waiter));
}

bool EngineSchedule::acceptSender(const AdmissionRequest &request, Instant now)
{
    auto &sender = this->senders[request.sender];
    if (sender.incarnation != request.key.incarnation) {
        if (sender.incarnation != 0 && request.key.incarnation == sender.previousIncarnation)
            return false;
        this->dropIncarnation(sender.incarnation, now);
        sender.previousIncarnation = sender.incarnation;
        sender.incarnation = request.key.incarnation;
    }
    sender.heardAt = now;
    return true;
}

void EngineSchedule::noteSender(const std::string &sender, Instant now)
{
    if (const auto found = this->senders.find(sender); found != this->senders.end())
        found->second.heardAt = now;
}

void EngineSchedule::dropIncarnation(uint64_t incarnation, Instant now)
{
    std::erase_if(this->waiting, [&](const Waiter &waiter) {
        if (waiter.request.key.incarnation != incarnation)
            return false;
        this->fairOrder.noteWithdrawn(waiter.request.account, fairCostOf(waiter.request));
        return true;
    });
    for (auto place = this->granted.begin(); place != this->granted.end();) {
        const auto item = place++;
        if (item->first.incarnation == incarnation)
            this->release(item, now);
    }
}

void EngineSchedule::cancel(AdmissionKey key, Instant now)
{
    this->close(key);
    std::erase_if(this->waiting, [&](const Waiter &waiter) {
        if (waiter.request.key != key)
            return false;
        this->fairOrder.noteWithdrawn(waiter.request.account, fairCostOf(waiter.request));
        return true;
    });
    if (const auto found = this->granted.find(key); found != this->granted.end())
        this->release(found, now);
}

void EngineSchedule::noteFirstEvent(AdmissionKey key, Duration firstEvent, Instant now)
{
    const auto found = this->granted.find(key);
    if (found == this->granted.end() || found->second.hasFirstEvent)
        return;
    auto &grant = found->second;
    grant.hasFirstEvent = true;
    this->window.finish(key, now);
    if (!grant.isOverlapped && isStream(grant.request))
        this->learntPace.addSample(firstEvent, grant.request.prefill);
}

void EngineSchedule::noteEnd(AdmissionKey key, const StreamPauses &pauses, Instant now)
{
    this->close(key);
    const auto found = this->granted.find(key);
    if (found == this->granted.end())
        return;
    const auto &grant = found->second;
    this->learntPace.addGap(pauses.median);
    this->limit.noteStream(pauses, grant.request.eventGap, grant.grantedAt, now);
    const double sinceMs = std::min(toMsExact(now - this->releasedAt), MaxReleaseIntervalMs);
    this->releasedAt = now;
    this->releaseIntervalMs += ReleaseWeight * (sinceMs - this->releaseIntervalMs);
    this->releasedTokens += ReleaseWeight * (grant.request.kvTokens - this->releasedTokens);
    this->release(found, now);
}

void EngineSchedule::release(std::map<AdmissionKey, Grant>::iterator place, Instant now)
{
    this->window.finish(place->first, now);
    this->reservedTokens -= place->second.request.kvTokens;
    this->granted.erase(place);
}

void EngineSchedule::close(AdmissionKey key)
{
    if (!this->closed.insert(key).second)
        return;
    this->closedOrder.push_back(key);
    if (this->closedOrder.size() <= MaxClosed)
        return;
    this->closed.erase(this->closedOrder.front());
    this->closedOrder.pop_front();
}

void EngineSchedule::noteLoad(const EngineLoad &load, Instant now)
{
    this->learntPace.noteReported(load.pacePercent);
    // A report may be from before the last ends, so the most requests since the previous one count.
    const size_t own = std::max(this->peakGranted, this->granted.size());
    this->peakGranted = this->granted.size();
    this->foreignRequests =
        load.requests > own ? static_cast<uint32_t>(load.requests - own) : uint32_t{0};
    // Used memory contains cached prompts that make room when needed, so the other requests count
    // with their share of it.
    this->foreignTokens = this->foreignRequests == 0
                              ? 0
                              : uint64_t{load.kvUsedTokens} * this->foreignRequests / load.requests;
    this->loadAt = now;
}

void EngineSchedule::noteEngineRestart()
{
    const EngineCapacity present = this->capacity;
    *this = EngineSchedule{};
    this->capacity = present;
}

void EngineSchedule::noteProcessPause(Instant now)
{
    for (const auto &waiter : this->waiting)
        this->fairOrder.noteWithdrawn(waiter.request.account, fairCostOf(waiter.request));
    this->waiting.clear();
    this->replies.clear();
    // The gateways could not be heard meanwhile.
    for (auto &[name, sender] : this->senders)
        sender.heardAt = now;
}

void EngineSchedule::expire(Instant now)
{
    for (auto place = this->senders.begin(); place != this->senders.end();) {
        if (now < place->second.heardAt + SenderLifetime) {
            ++place;
            continue;
        }
        this->dropIncarnation(place->second.incarnation, now);
        place = this->senders.erase(place);
    }
    for (auto place = this->granted.begin(); place != this->granted.end();) {
        const auto item = place++;
        if (item->second.expiresAt <= now)
            this->release(item, now);
    }
    std::erase_if(this->waiting, [&](const Waiter &waiter) {
        // A request that has just arrived may be granted at once, even if it must not wait.
        const bool isOverdue =
            waiter.arrivedAt < now && waiter.arrivedAt + waiter.request.limit <= now;
        if (!isOverdue && now < waiter.askedAt + AskLifetime)
            return false;
        if (isOverdue)
            this->refuse(waiter, static_cast<uint32_t>(toMs(this->interval())));
        this->fairOrder.noteWithdrawn(waiter.request.account, fairCostOf(waiter.request));
        return true;
    });
    if (this->loadAt + LoadLifetime <= now) {
        this->foreignRequests = 0;
        this->foreignTokens = 0;
    }
}

void EngineSchedule::sortQueue(Instant now)
{
    // Each priority ages with its oldest request, while fairness decides which of its requests goes
    // first. Otherwise an account with many requests would pass the others by letting them age.
    std::array<int64_t, PriorityCount> levels{};
    for (uint32_t priority = 0; priority < PriorityCount; ++priority)
        levels[priority] = priority;
    for (const auto &waiter : this->waiting) {
        const Duration step = std::max(waiter.request.limit / 2, Duration(milliseconds(1)));
        const int64_t aged = waiter.request.priority - (now - waiter.arrivedAt) / step;
        auto &level = levels[waiter.request.priority];
        level = std::max<int64_t>(0, std::min(level, aged));
    }
    std::sort(this->waiting.begin(), this->waiting.end(), [&](const auto &a, const auto &b) {
        return std::tuple(levels[a.request.priority], a.fairTag, a.number) <
               std::tuple(levels[b.request.priority], b.fairTag, b.number);
    });
}

void EngineSchedule::refuse(const Waiter &waiter, uint32_t expectedMs)
{
    this->replies.push_back(
        {waiter.request.key, waiter.request.replyTo, AdmissionVerdict::Refused, expectedMs, false});
}

void EngineSchedule::grant(const Waiter &waiter, Instant now)
{
    const auto &request = waiter.request;
    const bool isOverlapped = this->window.hasOpen(now);
    if (isOverlapped) {
        for (auto &[key, grant] : this->granted)
            grant.isOverlapped = grant.isOverlapped || !grant.hasFirstEvent;
    }
    const Duration cost = this->costOf(request);
    this->window.add(request.key, cost, isStream(request), now);
    this->limit.notePrompt(cost);
    this->fairOrder.noteServed(waiter.fairTag);
    this->reservedTokens += request.kvTokens;
    this->granted.insert_or_assign(
        request.key, Grant{request, now, waiter.arrivedAt + request.deadline, isOverlapped});
    this->peakGranted = std::max(this->peakGranted, this->granted.size());
    this->replies.push_back({request.key, request.replyTo, AdmissionVerdict::Granted, 0, false});
}

bool EngineSchedule::exceedsMemory(const AdmissionRequest &request) const
{
    return this->capacity.kvTokens != 0 && request.kvTokens > this->capacity.kvTokens;
}

bool EngineSchedule::hasRoom(const AdmissionRequest &request) const
{
    const size_t running = this->granted.size() + this->foreignRequests;
    if (running == 0)
        return true;
    if (this->capacity.slots != 0 && running >= this->capacity.slots)
        return false;
    const uint64_t tokens = this->reservedTokens + this->foreignTokens + request.kvTokens;
    return this->capacity.kvTokens == 0 || tokens <= KvShare * this->capacity.kvTokens;
}

Duration EngineSchedule::costOf(const AdmissionRequest &request) const
{
    const auto cost = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(request.prefill) * this->pace());
    return std::max<Duration>(cost, MinCost);
}

std::optional<Duration> EngineSchedule::acceptedPause() const
{
    std::optional<Duration> shortest;
    for (const auto &[key, grant] : this->granted) {
        if (isStream(grant.request))
            shortest = std::min(shortest.value_or(grant.request.eventGap), grant.request.eventGap);
    }
    return shortest;
}

Duration EngineSchedule::interval() const
{
    return std::clamp<Duration>(this->acceptedPause().value_or(DefaultInterval), MinInterval,
                                PrefillWindow::MaxInterval);
}

Duration EngineSchedule::prefillLimit() const
{
    // Without streams there is nothing that could pause.
    const Duration interval = this->interval();
    return this->acceptedPause() ? this->limit.limitFor(interval) : interval;
}

Instant EngineSchedule::prefillFreeAt(const AdmissionRequest &request, Instant now) const
{
    return this->window.freeAt(this->costOf(request), this->interval(), this->prefillLimit(), now);
}

Duration EngineSchedule::expectedWaitOfNext(Instant now) const
{
    AdmissionRequest usual;
    usual.prefill = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(this->limit.usualPrompt()) / this->pace());
    usual.kvTokens = static_cast<uint32_t>(this->releasedTokens);
    // Without requests a prompt is taken at once, whatever its size.
    if (this->waiting.empty() && this->granted.empty() && this->foreignRequests == 0)
        return Duration{};
    return this->expectedWait(usual, this->waiting.size(), now);
}

Duration EngineSchedule::expectedWait(const AdmissionRequest &request, size_t ahead,
                                      Instant now) const
{
    double prefillMs = toMsExact(this->prefillFreeAt(request, now) - now);
    uint64_t tokens = this->reservedTokens + this->foreignTokens + request.kvTokens;
    const double share =
        toMsExact(this->interval()) / std::max(1.0, toMsExact(this->prefillLimit()));
    for (size_t i = 0; i < ahead; ++i) {
        prefillMs += toMsExact(this->costOf(this->waiting[i].request)) * share;
        tokens += this->waiting[i].request.kvTokens;
    }
    double ends = 0;
    const size_t requests = this->granted.size() + this->foreignRequests + ahead + 1;
    if (this->capacity.slots != 0 && requests > this->capacity.slots)
        ends = static_cast<double>(requests - this->capacity.slots);
    const double room = KvShare * this->capacity.kvTokens;
    if (this->capacity.kvTokens != 0 && static_cast<double>(tokens) > room) {
        const double mean =
            std::max(1.0, this->granted.empty() ? this->releasedTokens
                                                : static_cast<double>(this->reservedTokens) /
                                                      static_cast<double>(this->granted.size()));
        ends = std::max(ends, std::min(static_cast<double>(requests),
                                       std::ceil((static_cast<double>(tokens) - room) / mean)));
    }
    return milliseconds(
        static_cast<int64_t>(std::ceil(std::max(prefillMs, ends * this->releaseIntervalMs))));
}

size_t EngineSchedule::maxQueue() const
{
    return size_t{QueuePerSlot} * (this->capacity.slots == 0 ? DefaultSlots : this->capacity.slots);
}

void EngineSchedule::answerAsks(Instant now)
{
    // From the last to the first, so that removals leave the positions of the others as they are.
    for (size_t position = this->waiting.size(); position-- > 0;) {
        auto &waiter = this->waiting[position];
        const bool isBeyondBound = position >= this->maxQueue();
        if (!waiter.isReplyDue && !isBeyondBound)
            continue;
        const Duration wait = this->expectedWait(waiter.request, position, now);
        const auto waitMs = static_cast<uint32_t>(toMs(wait));
        if (isBeyondBound || (!waiter.wasReplied && wait > waiter.request.limit)) {
            this->refuse(waiter, waitMs);
            this->fairOrder.noteWithdrawn(waiter.request.account, fairCostOf(waiter.request));
            this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(position));
            continue;
        }
        this->replies.push_back({waiter.request.key, waiter.request.replyTo,
                                 AdmissionVerdict::Queued, waitMs, waiter.wasReplied});
        waiter.isReplyDue = false;
        waiter.wasReplied = true;
    }
}

EngineSchedule::Step EngineSchedule::poll(Instant now)
{
    this->expire(now);
    this->sortQueue(now);
    Step step;
    size_t grants = 0;
    for (const auto &waiter : this->waiting) {
        // Those behind do not pass a request that finds no room, or a large one would never find
        // any.
        if (!this->hasRoom(waiter.request))
            break;
        const Instant freeAt = this->prefillFreeAt(waiter.request, now);
        if (freeAt > now) {
            step.nextAt = freeAt;
            this->limit.noteInUse();
            break;
        }
        this->grant(waiter, now);
        ++grants;
    }
    this->waiting.erase(this->waiting.begin(),
                        this->waiting.begin() + static_cast<std::ptrdiff_t>(grants));
    this->answerAsks(now);
    const auto wakeAt = [&](Instant time) {
        step.nextAt = std::min(step.nextAt.value_or(time), time);
    };
    for (const auto &waiter : this->waiting)
        wakeAt(std::min(waiter.arrivedAt + waiter.request.limit, waiter.askedAt + AskLifetime));
    if (this->waiting.empty()) {
        step.nextAt.reset();
    } else {
        for (const auto &[key, grant] : this->granted)
            wakeAt(grant.expiresAt);
        for (const auto &[name, sender] : this->senders)
            wakeAt(sender.heardAt + SenderLifetime);
        if (this->foreignRequests != 0)
            wakeAt(this->loadAt + LoadLifetime);
    }
    step.replies = std::exchange(this->replies, {});
    return step;
}

} // namespace tray
