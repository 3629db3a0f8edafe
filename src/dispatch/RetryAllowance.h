// An instance's share of the repeats that all instances together may send to a service.
#pragma once

#include "base/Time.h"

#include <deque>

namespace tray {

/// Bounds over a sliding window, valid for all instances together.
struct RetryBounds
{
    /// Repeats allowed for each request of the window.
    double ratio = 0.2;
    /// Repeats allowed beside that, in a window.
    double reserve = 50;
    Duration window = std::chrono::seconds(10);
};

/// Counts requests and repeats of one service at one instance. The ratio applies to the requests
/// that this instance took itself; the reserve is divided by the number of instances.
class RetryAllowance
{
public:
    /// Part of the bounds that is used; the rest covers instances that come and go unnoticed.
    static constexpr double Utilization = 0.8;

    explicit RetryAllowance(RetryBounds bounds) : bounds(bounds) {}

    /// A caller's request was sent to an upstream for the first time.
    void noteFirst(Instant now);
    /// Uses up one repeat; false if this instance has sent its share.
    bool take(size_t instances, Instant now);

private:
    void expire(Instant now);

    RetryBounds bounds;
    // Times of the window's first sends and repeats, oldest first.
    std::deque<Instant> firsts;
    std::deque<Instant> repeats;
};

} // namespace tray
