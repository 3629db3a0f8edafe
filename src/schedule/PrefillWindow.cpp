// Sums the work of prefills over intervals.
#include "schedule/PrefillWindow.h"

#include <algorithm>

namespace tray {

void PrefillWindow::add(AdmissionKey key, Duration cost, bool showsEnd, Instant now)
{
    std::erase_if(this->prefills, [&](const Prefill &prefill) {
        return this->givenUpAt(prefill) + MaxInterval < now;
    });
    const Instant begin = std::max(now, this->busyUntil(now));
    this->prefills.push_back({key, begin, begin + cost, showsEnd});
}

void PrefillWindow::finish(AdmissionKey key, Instant now)
{
    for (auto &prefill : this->prefills) {
        if (prefill.key != key || !prefill.isOpen)
            continue;
        if (this->isLate(prefill, now)) {
            // It ended just now instead of at the expected time.
            const Duration cost = prefill.end - prefill.begin;
            prefill.end = now;
            prefill.begin = now - cost;
        }
        prefill.isOpen = false;
        prefill.end = std::min(prefill.end, now);
        prefill.begin = std::min(prefill.begin, prefill.end);
    }
}

bool PrefillWindow::hasOpen(Instant now) const
{
    return std::any_of(this->prefills.begin(), this->prefills.end(), [&](const Prefill &prefill) {
        return prefill.isOpen && now < this->givenUpAt(prefill);
    });
}

bool PrefillWindow::isLate(const Prefill &prefill, Instant now) const
{
    return prefill.isOpen && prefill.showsEnd && prefill.end + LateSlack < now &&
           now < this->givenUpAt(prefill);
}

Instant PrefillWindow::givenUpAt(const Prefill &prefill) const
{
    if (!prefill.isOpen || !prefill.showsEnd)
        return prefill.end;
    return prefill.end + LateSlack + std::min(MaxLateness, prefill.end - prefill.begin);
}

Instant PrefillWindow::busyUntil(Instant now) const
{
    Instant until{};
    for (const auto &prefill : this->prefills)
        until = std::max(until, this->isLate(prefill, now) ? now : prefill.end);
    return until;
}

Duration PrefillWindow::workBetween(Instant from, Instant to, Instant now) const
{
    Duration work{};
    for (const auto &prefill : this->prefills) {
        const Duration shift = this->isLate(prefill, now) ? now - prefill.end : Duration{};
        const Instant begin = std::max(from, prefill.begin + shift);
        const Instant end = std::min(to, prefill.end + shift);
        if (begin < end)
            work += end - begin;
    }
    return work;
}

bool PrefillWindow::fitsAt(Instant time, Duration cost, Duration interval, Duration limit,
                           Instant now) const
{
    const Instant begin = std::max(time, this->busyUntil(now));
    // A prompt that exceeds the limit begins after as much free time as the limit leaves in an
    // interval.
    if (cost > limit) {
        return begin == time &&
               this->workBetween(begin - (interval - limit), begin, now) == Duration{};
    }
    return begin - time + cost <= limit &&
           this->workBetween(begin + cost - interval, begin, now) + cost <= limit;
}

Instant PrefillWindow::freeAt(Duration cost, Duration interval, Duration limit, Instant now) const
{
    // Once a prompt fits it fits at all later times, so the first one can be bisected.
    if (this->fitsAt(now, cost, interval, limit, now))
        return now;
    Instant before = now;
    Instant after = std::max(now, this->busyUntil(now)) + interval;
    while (after - before > milliseconds(1)) {
        const Instant middle = before + (after - before) / 2;
        (this->fitsAt(middle, cost, interval, limit, now) ? after : before) = middle;
    }
    return after;
}

} // namespace tray
