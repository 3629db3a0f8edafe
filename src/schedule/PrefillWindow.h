// Prefill work that an engine has been given, and when it has room for more.
#pragma once

#include "base/Time.h"
#include "schedule/AdmissionRequest.h"

#include <deque>

namespace tray {

/// Models the prefills of an engine as one sequence and bounds the work in every interval of a
/// given length. A prompt that alone exceeds the bound runs without others, after a time without
/// work.
class PrefillWindow
{
public:
    /// Longest interval for which work is remembered.
    static constexpr Duration MaxInterval = std::chrono::seconds(2);
    /// Time after its expected end at which a prefill without a first event counts as late, for the
    /// way of the request and of the note from another region.
    static constexpr Duration LateSlack = milliseconds(200);
    /// Longest time for which a late prefill counts. It is not more than its cost either, since the
    /// note may be lost.
    static constexpr Duration MaxLateness = std::chrono::seconds(1);

    /// Adds a prompt. Only one whose first event shows the end of its prefill can be late.
    void add(AdmissionKey key, Duration cost, bool showsEnd, Instant now);
    /// Notes that a prefill has ended, or that its request was cancelled.
    void finish(AdmissionKey key, Instant now);
    void clear() { this->prefills.clear(); }
    /// Whether a prefill is not known to have ended.
    bool hasOpen(Instant now) const;
    /// Returns the first time, from now on, at which a prompt may be added.
    Instant freeAt(Duration cost, Duration interval, Duration limit, Instant now) const;

private:
    struct Prefill
    {
        AdmissionKey key;
        Instant begin;
        Instant end;
        bool showsEnd;
        bool isOpen = true;
    };

    bool isLate(const Prefill &prefill, Instant now) const;
    /// Returns the time from which a prefill that is open no longer counts.
    Instant givenUpAt(const Prefill &prefill) const;
    /// Returns when the work that was added will have ended.
    Instant busyUntil(Instant now) const;
    /// Returns the work in an interval, with what is late at the present time.
    Duration workBetween(Instant from, Instant to, Instant now) const;
    bool fitsAt(Instant time, Duration cost, Duration interval, Duration limit, Instant now) const;

    // In the order in which they were added. Ended and expired ones are dropped by add().
    std::deque<Prefill> prefills;
};

} // namespace tray
