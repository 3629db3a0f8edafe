// Fair order among flows that share a resource: start-time fair queueing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace tray {

/// Assigns start tags to requests. Serving them in the order of their tags gives each flow that has
/// waiting requests the same share of the resource, however many requests the others have. The
/// clock is virtual: it advances with the tags of the requests that are served.
class FairOrder
{
public:
    /// Flows that are remembered. A flow without requests is forgotten as soon as that makes no
    /// difference to its next tag.
    static constexpr size_t MaxFlows = 2048;

    /// Returns the tag of a new request of a flow. The cost is in any unit that is common to all
    /// flows.
    double enqueue(uint64_t flow, double cost);
    /// Notes that a request is served, in or out of order.
    void noteServed(double tag);
    /// Notes that a request will not be served, so that its flow is not charged for it.
    void noteWithdrawn(uint64_t flow, double cost);
    size_t flowCount() const { return this->finishTags.size(); }

private:
    void makeRoom();

    // Highest tag of a request that was served.
    double virtualTime = 0;
    // Tag at which the next request of a flow may start; flows at or before the virtual time may be
    // missing. At most MaxFlows entries.
    std::unordered_map<uint64_t, double> finishTags;
};

} // namespace tray
