// Limits the concurrent reads of periods and restores their order.
#include "claims/PeriodLoader.h"

namespace tray {

void PeriodLoader::start(std::deque<uint64_t> periods)
{
    this->notTaken = periods;
    this->toRead = std::move(periods);
    this->loadedPeriods.clear();
    this->readsInFlight = 0;
}

std::optional<uint64_t> PeriodLoader::nextToRead(size_t limit)
{
    if (this->toRead.empty() || this->readsInFlight >= limit)
        return std::nullopt;
    const uint64_t period = this->toRead.front();
    this->toRead.pop_front();
    ++this->readsInFlight;
    return period;
}

void PeriodLoader::addLoaded(Loaded loaded)
{
    --this->readsInFlight;
    const uint64_t period = loaded.period;
    this->loadedPeriods.emplace(period, std::move(loaded));
}

std::optional<PeriodLoader::Loaded> PeriodLoader::takeNext()
{
    if (this->notTaken.empty())
        return std::nullopt;
    const auto found = this->loadedPeriods.find(this->notTaken.front());
    if (found == this->loadedPeriods.end())
        return std::nullopt;
    Loaded loaded = std::move(found->second);
    this->loadedPeriods.erase(found);
    this->notTaken.pop_front();
    return loaded;
}

} // namespace tray
