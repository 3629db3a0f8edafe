// Queues the waiting operations and indexes them by key.
#include "claims/ClaimQueue.h"

#include <algorithm>
#include <cassert>

namespace tray {

void ClaimQueue::add(ClaimOperationKind kind, proto::ClaimRecord record, uint64_t waiter,
                     Instant now)
{
    auto operation = std::make_shared<ClaimOperation>();
    operation->kind = kind;
    operation->record = std::move(record);
    operation->waiters.push_back(waiter);
    operation->queuedAt = now;
    this->totalBytes += operation->record.ByteSizeLong();
    this->byKey.emplace(operation->record.key(), operation);
    this->waiting.push_back(std::move(operation));
}

ClaimOperationPtr ClaimQueue::find(ClaimOperationKind kind, const std::string &key) const
{
    const auto [first, last] = this->byKey.equal_range(key);
    const auto found =
        std::find_if(first, last, [&](const auto &entry) { return entry.second->kind == kind; });
    return found == last ? nullptr : found->second;
}

void ClaimQueue::putBack(ClaimOperationPtr operation)
{
    operation->inWrite = false;
    this->waiting.push_front(std::move(operation));
}

void ClaimQueue::remove(const ClaimOperationPtr &operation)
{
    this->forget(operation);
    std::erase(this->waiting, operation);
}

void ClaimQueue::forget(const ClaimOperationPtr &operation)
{
    const auto [first, last] = this->byKey.equal_range(operation->record.key());
    const auto found =
        std::find_if(first, last, [&](const auto &entry) { return entry.second == operation; });
    assert(found != last);
    this->totalBytes -= operation->record.ByteSizeLong();
    this->byKey.erase(found);
}

} // namespace tray
