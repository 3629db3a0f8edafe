// Measures one gateway's demand by model, as exponentially decaying rates of requests, tokens and
// engine time. The planner adds up the reports of all gateways to decide how many replicas each
// model needs.
#pragma once

#include "base/Time.h"
#include "fleet/FleetConfig.h"

#include "fleet.pb.h"

#include <map>
#include <set>
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
    /// Time after the last waiting continuation for which its need is reported: its caller may ask
    /// again.
    static constexpr Duration ContinuationLifetime = std::chrono::seconds(3);
    /// Most needs of continuations that are kept and reported; the oldest ones are dropped first.
    static constexpr size_t MaxContinuations = 32;

    /// Handles the configuration in force. Only models that it names are measured: callers may name
    /// others, in any bytes and number, for which nothing can be placed.
    void handleConfig(const FleetConfig &config);
    /// Records the arrival of a request that is expected to occupy an engine for the given time, in
    /// milliseconds.
    void recordRequest(const std::string &model, uint32_t promptTokens, uint32_t outputTokens,
                       double workMs, Instant now);
    /// Records that a request was refused because no engine could serve its model.
    void recordRefusal(const std::string &model, Instant now);
    /// Records that a stream waits for an upstream of its software version with its model. Repeated
    /// while the stream waits.
    void recordWaitingContinuation(const std::string &service, const std::string &model,
                                   const std::string &softwareVersion, Instant now);
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

    struct ContinuationKey
    {
        std::string service;
        std::string model;
        std::string softwareVersion;
        auto operator<=>(const ContinuationKey &) const = default;
    };

    std::set<std::string> configuredModels;
    // Rates of configured models.
    std::map<std::string, ModelRates> rates;
    // Time at which a continuation last waited; at most MaxContinuations rows.
    std::map<ContinuationKey, Instant> continuations;
};

} // namespace tray
