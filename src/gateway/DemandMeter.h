// Measures one gateway's demand by model, as exponentially decaying rates of requests, tokens and
// engine time. The planner adds up the reports of all gateways to decide how many replicas each
// model needs.
#pragma once

#include "base/Time.h"

#include "fleet.pb.h"

#include <map>
#include <string>

namespace tray {

/// Exponentially weighted demand rates of one instance, by model.
class DemandMeter
{
public:
    /// Time constant of the exponential decay. It is short compared with the seconds within which
    /// demand changes.
    static constexpr Duration TimeConstant = std::chrono::seconds(2);
    /// A model is dropped when its rates of requests and of refusals are both below this value, in
    /// requests per second.
    static constexpr double MinTrackedRatePerSecond = 0.002;

    /// Records the arrival of a request that is expected to occupy an engine for the given time, in
    /// milliseconds.
    void recordRequest(const std::string &model, uint32_t promptTokens, uint32_t outputTokens,
                       double workMs, Instant now);
    /// Records that a request was refused because no engine could serve its model.
    void recordRefusal(const std::string &model, Instant now);
    /// Returns the current rates of all models with recent demand and drops the other models.
    proto::DemandReport makeReport(Instant now);

private:
    struct ModelRates
    {
        double requestsPerSecond = 0;
        double promptTokensPerSecond = 0;
        double outputTokensPerSecond = 0;
        double refusalsPerSecond = 0;
        double workMsPerSecond = 0;
        Instant updatedAt{};

        void decay(Instant now);
    };

    std::map<std::string, ModelRates> rates;
};

} // namespace tray
