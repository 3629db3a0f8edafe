// Window over the periods to read, with reordering of early arrivals.
#include "claims/PeriodLoader.h"

namespace tray {

void PeriodLoader::start(std::deque<uint64_t> periods)
{
    this->toTake = periods;
    this->toRead = std::move(periods);
    this->arrived.clear();
    this->onTheirWay = 0;
}

std::optional<uint64_t> PeriodLoader::nextToRead(size_t limit)
{
    if (this->toRead.empty() || this->onTheirWay >= limit)
        return std::nullopt;
    const uint64_t period = this->toRead.front();
    this->toRead.pop_front();
    ++this->onTheirWay;
    return period;
}

void PeriodLoader::put(Loaded loaded)
{
    --this->onTheirWay;
    const uint64_t period = loaded.period;
    this->arrived.emplace(period, std::move(loaded));
}

std::optional<PeriodLoader::Loaded> PeriodLoader::takeNext()
{
    if (this->toTake.empty())
        return std::nullopt;
    const auto found = this->arrived.find(this->toTake.front());
    if (found == this->arrived.end())
        return std::nullopt;
    Loaded loaded = std::move(found->second);
    this->arrived.erase(found);
    this->toTake.pop_front();
    return loaded;
}

} // namespace tray
