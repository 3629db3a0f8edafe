// Adapts the limit once a second.
#include "schedule/PrefillLimit.h"

#include <algorithm>

namespace tray {

namespace {

// Time between two events before any sample, in ms: three or four decode steps.
constexpr double DefaultEventMs = 80;
// Part of the accepted pause that is left free for the variation of steps and prefills.
constexpr double MarginShare = 0.1;
// Part of the accepted pause that is granted although the steps of an event leave less.
constexpr double MinShare = 0.25;
// Longest pauses above the first share of the accepted one are too long; those below the second one
// leave room.
constexpr double LongPauseShare = 0.9;
constexpr double ShortPauseShare = 0.7;
// Share of the streams that may have had a long pause, and that must have had only short ones
// before the limit is raised.
constexpr double ToleratedShare = 0.1;
constexpr double RequiredShortShare = 0.9;
// Least part of the room that is granted. Slowdowns of the machine cause pauses that no limit
// prevents; a lower limit refuses more requests than it keeps on time.
constexpr double MinFactor = 1;
constexpr double LowerFactor = 0.8;
constexpr double RaiseFactor = 1.05;
constexpr double MaxFactor = 2.5;
// Time between two adjustments, and the number of streams needed for one; with fewer streams it
// takes up to the second time.
constexpr Duration AdjustPeriod = std::chrono::seconds(1);
constexpr Duration MaxAdjustPeriod = std::chrono::seconds(4);
constexpr uint32_t MinStreams = 4;
constexpr double PromptWeight = 0.1;
// Weights of a stream whose pause is longer or shorter than the mean. A pause is harmful at once;
// streams without one show only slowly that the engine can take more.
constexpr double LongerPauseWeight = 0.2;
constexpr double ShorterPauseWeight = 0.1;
// Time in which the mean falls to nothing without further streams: an engine that gets no streams
// because of its pauses is tried again.
constexpr Duration PauseLifetime = std::chrono::seconds(6);

double toMsExact(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

void PrefillLimit::notePrompt(Duration cost)
{
    const double ms = toMsExact(cost);
    this->promptMs =
        this->promptMs == 0 ? ms : this->promptMs + PromptWeight * (ms - this->promptMs);
}

Duration PrefillLimit::usualPrompt() const
{
    return fromMs(this->promptMs);
}

void PrefillLimit::noteStream(const StreamPauses &pauses, Duration accepted, Instant grantedAt,
                              Instant now)
{
    if (pauses.longest <= Duration{} || accepted <= Duration{})
        return;
    if (pauses.median > Duration{})
        this->eventMs.add(toMsExact(pauses.median));
    const double share = toMsExact(pauses.longest) / toMsExact(accepted);
    const double known = this->pauseShare(now);
    this->meanPauseShare =
        known + (share > known ? LongerPauseWeight : ShorterPauseWeight) * (share - known);
    this->pausedAt = now;
    // Streams from before the limit was lowered show pauses of the earlier limit.
    if (grantedAt < this->loweredAt)
        return;
    if (this->streams == 0)
        this->countedSince = now;
    ++this->streams;
    this->longPauses += share > LongPauseShare ? 1 : 0;
    this->shortPauses += share < ShortPauseShare ? 1 : 0;
    this->adjust(now);
}

void PrefillLimit::adjust(Instant now)
{
    const Duration counted = now - this->countedSince;
    if (counted < (this->streams < MinStreams ? MaxAdjustPeriod : AdjustPeriod))
        return;
    if (this->longPauses > ToleratedShare * this->streams) {
        this->factor = std::max(MinFactor, this->factor * LowerFactor);
        this->loweredAt = now;
    } else if (this->isInUse && this->shortPauses >= RequiredShortShare * this->streams) {
        this->factor = std::min(MaxFactor, this->factor * RaiseFactor);
    }
    this->streams = this->longPauses = this->shortPauses = 0;
    this->isInUse = false;
}

double PrefillLimit::pauseShare(Instant now) const
{
    const double age = std::chrono::duration<double>(now - this->pausedAt) /
                       std::chrono::duration<double>(PauseLifetime);
    return this->meanPauseShare * std::clamp(1 - age, 0.0, 1.0);
}

Duration PrefillLimit::limitFor(Duration accepted) const
{
    const double interval = toMsExact(accepted);
    const double room = std::max(MinShare * interval, (1 - MarginShare) * interval -
                                                          this->eventMs.valueOr(DefaultEventMs));
    const double lowest = std::min(this->promptMs, interval);
    return fromMs(std::clamp(this->factor * room, lowest, interval));
}

} // namespace tray
