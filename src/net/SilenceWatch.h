// Judges the silence of a peer.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace tray {

/// Measures how long a peer was silent while this process was able to hear it. The caller looks at
/// the peer several times within the limit, and a look that comes late counts as one that was
/// punctual: neither a pause of this process nor a busy event loop is taken for the peer's silence.
class SilenceWatch
{
public:
    SilenceWatch(Duration limit, Instant now)
        : step(std::max<Duration>(limit / Looks, Duration(1))), left(limit), lookedAt(now)
    {}

    /// Time of the next look.
    Instant nextLook() const { return this->lookedAt + std::min(this->step, this->left); }

    /// Notes a look that found nothing from the peer.
    void look(Instant now)
    {
        this->left -= std::min({this->left, this->step, now - this->lookedAt});
        this->lookedAt = now;
    }

    /// The limit is reached. The next look is then due at once, for what arrived with the last one.
    bool isOver() const { return this->left <= Duration::zero(); }

private:
    // Looks within the limit.
    static constexpr int Looks = 5;

    const Duration step;
    Duration left;
    Instant lookedAt;
};

} // namespace tray
