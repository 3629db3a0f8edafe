// Admission control by tier, deadline, KV cache and predicted wait.
#include "admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <tuple>

namespace tray {

namespace {

// Weight of a new sample in a moving average, as a divisor.
constexpr int MeanSampleDivisor = 16;

int retryAfterMs(Duration wait)
{
    return static_cast<int>(std::clamp<int64_t>(toMs(wait), 50, 30000));
}

Error refusal(ErrorKind kind, std::string message, Duration wait)
{
    return Error{kind, std::move(message), retryAfterMs(wait)};
}

} // namespace

bool AdmissionQueue::PriorityOrder::operator()(const AdmissionWork &a, const AdmissionWork &b) const
{
    return std::tie(a.tierRank, a.deadline, a.ticket) < std::tie(b.tierRank, b.deadline, b.ticket);
}

uint32_t AdmissionQueue::withheldSlots(uint32_t tierRank) const
{
    const uint32_t steps = std::min(tierRank, this->limits.maxWithholdingRank);
    const uint32_t withheld =
        (this->limits.concurrency * this->limits.withheldPercentPerRank * steps + 99) / 100;
    // The lowest tier keeps at least one slot.
    return std::min(withheld, this->limits.concurrency - 1);
}

uint64_t AdmissionQueue::withheldKvBytes(uint32_t tierRank, uint64_t kvCapacityBytes) const
{
    const uint32_t steps = std::min(tierRank, this->limits.maxWithholdingRank);
    return kvCapacityBytes / 100 * this->limits.withheldPercentPerRank * steps;
}

bool AdmissionQueue::hasSlot(uint32_t tierRank) const
{
    // Running work of lower tiers does not count: the upstream runs work in the order of priority,
    // so work of a higher tier never waits behind it.
    const auto ahead =
        std::count_if(this->runningWork.begin(), this->runningWork.end(),
                      [&](const auto &pair) { return pair.second.work.tierRank <= tierRank; });
    return static_cast<uint32_t>(ahead) + this->withheldSlots(tierRank) < this->limits.concurrency;
}

Duration AdmissionQueue::estimateWait(uint32_t tierRank, size_t queuedAhead) const
{
    const uint32_t slots = this->limits.concurrency - this->withheldSlots(tierRank);
    const auto running = static_cast<size_t>(
        std::count_if(this->runningWork.begin(), this->runningWork.end(),
                      [&](const auto &pair) { return pair.second.work.tierRank <= tierRank; }));
    if (running + queuedAhead < slots)
        return Duration::zero();
    // Assumes that slots become free evenly over the mean service time.
    const size_t turns = running + queuedAhead + 1 - slots;
    return this->meanServiceTime * static_cast<int64_t>(turns) / slots;
}

Duration AdmissionQueue::predictedWait(uint32_t tierRank) const
{
    const auto ahead = static_cast<size_t>(
        std::count_if(this->queue.begin(), this->queue.end(),
                      [&](const auto &work) { return work.tierRank <= tierRank; }));
    return this->estimateWait(tierRank, ahead);
}

std::optional<Error> AdmissionQueue::offer(const AdmissionWork &work,
                                           const AdmissionResources &resources, Instant now)
{
    const auto ahead =
        static_cast<size_t>(std::distance(this->queue.begin(), this->queue.lower_bound(work)));
    const Duration wait = this->estimateWait(work.tierRank, ahead);
    if (work.deadline <= now)
        return refusal(ErrorKind::Overloaded, "the deadline has passed", wait);
    if (work.kvBytes > resources.kvCapacityBytes)
        return refusal(ErrorKind::OutOfMemory, "the request needs more KV cache than there is",
                       std::chrono::seconds(5));
    const auto ready = resources.isReady(work) ? Duration::zero() : resources.readyAfter(work);
    if (!ready)
        return refusal(ErrorKind::NoReplica, "the model is not on this engine",
                       std::chrono::seconds(1));
    if (now + std::max(wait, *ready) >= work.deadline)
        return refusal(ErrorKind::Overloaded, "the predicted wait exceeds the time left",
                       std::max(wait, *ready));
    if (this->queue.size() >= this->limits.queueLimit)
        return refusal(ErrorKind::Overloaded, "the queue is full", wait);
    const bool isNew = !this->runningWork.contains(work.ticket) && this->queue.insert(work).second;
    assert(isNew);
    static_cast<void>(isNew);
    return std::nullopt;
}

std::vector<AdmissionWork>
AdmissionQueue::collectReadyWork(const AdmissionResources &resources) const
{
    std::vector<AdmissionWork> order;
    for (const auto &work : this->queue) {
        if (resources.isReady(work))
            order.push_back(work);
    }
    return order;
}

std::vector<uint64_t> AdmissionQueue::start(const AdmissionResources &resources, Instant now)
{
    std::vector<uint64_t> started;
    if (this->isSuspectRunning)
        return started;
    for (const auto &work : this->collectReadyWork(resources)) {
        // Work that waits for a slot, for memory or for an idle upstream blocks the work behind it,
        // which would otherwise take the resource first.
        if (!this->hasSlot(work.tierRank))
            break;
        if (work.suspect && !this->runningWork.empty())
            break;
        const uint64_t withheldBytes =
            this->withheldKvBytes(work.tierRank, resources.kvCapacityBytes);
        const uint64_t freeBytes = resources.freeKvBytes();
        // A request that runs alone may use the withheld memory, since waiting could not free more
        // memory.
        const bool fits =
            work.kvBytes == 0 ||
            (work.kvBytes <= freeBytes &&
             (this->runningWork.empty() || freeBytes - work.kvBytes >= withheldBytes));
        if (!fits || !resources.reserveKv(work.kvBytes))
            break;
        this->queue.erase(work);
        this->runningWork[work.ticket] = {work, now};
        started.push_back(work.ticket);
        if (work.suspect) {
            this->isSuspectRunning = true;
            break;
        }
    }
    return started;
}

std::vector<std::pair<uint64_t, Error>> AdmissionQueue::expire(const AdmissionResources &resources,
                                                               Instant now)
{
    std::vector<std::pair<uint64_t, Error>> expired;
    for (auto it = this->queue.begin(); it != this->queue.end();) {
        const bool late = it->deadline <= now;
        const bool isUnavailable = !late && !resources.isReady(*it) && !resources.readyAfter(*it);
        if (!late && !isUnavailable) {
            ++it;
            continue;
        }
        const Duration wait = this->predictedWait(it->tierRank);
        expired.emplace_back(
            it->ticket,
            late ? refusal(ErrorKind::Overloaded, "the request waited until its deadline", wait)
                 : refusal(ErrorKind::NoReplica, "the model left this engine",
                           std::chrono::seconds(1)));
        it = this->queue.erase(it);
    }
    return expired;
}

bool AdmissionQueue::remove(uint64_t ticket)
{
    return std::erase_if(this->queue, [&](const auto &work) { return work.ticket == ticket; }) > 0;
}

std::vector<uint64_t> AdmissionQueue::clear()
{
    std::vector<uint64_t> tickets;
    for (const auto &work : this->queue)
        tickets.push_back(work.ticket);
    this->queue.clear();
    return tickets;
}

void AdmissionQueue::finish(uint64_t ticket, Instant now, uint32_t generatedTokens)
{
    const auto found = this->runningWork.find(ticket);
    if (found == this->runningWork.end())
        return;
    const Duration took = now - found->second.startedAt;
    this->meanServiceTime += (took - this->meanServiceTime) / MeanSampleDivisor;
    if (generatedTokens > 0)
        this->meanTimePerToken +=
            (took / generatedTokens - this->meanTimePerToken) / MeanSampleDivisor;
    if (found->second.work.suspect)
        this->isSuspectRunning = false;
    this->runningWork.erase(found);
}

void AdmissionQueue::forEachQueued(const std::function<void(const AdmissionWork &)> &visit) const
{
    for (const auto &work : this->queue)
        visit(work);
}

void AdmissionQueue::forEachRunning(const std::function<void(const AdmissionWork &)> &visit) const
{
    for (const auto &[ticket, running] : this->runningWork)
        visit(running.work);
}

void AdmissionQueue::fillLoad(proto::Load &load) const
{
    load.set_running(static_cast<uint32_t>(this->runningWork.size()));
    load.set_queued(static_cast<uint32_t>(this->queue.size()));
    load.set_concurrency(this->limits.concurrency);
    load.set_wait_ms(
        static_cast<uint32_t>(toMs(this->predictedWait(std::numeric_limits<uint32_t>::max()))));
    load.set_wait_top_ms(static_cast<uint32_t>(toMs(this->predictedWait(0))));
    load.set_token_us(static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(this->meanTimePerToken).count()));
}

} // namespace tray
