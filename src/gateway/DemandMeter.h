// What callers ask for, by model, over the last seconds.
#pragma once

#include "base/Time.h"

#include "fleet.pb.h"

#include <map>
#include <string>

namespace tray {

/// Exponentially weighted rates of one instance.
class DemandMeter
{
public:
    /// Time constant of the rates: short against the seconds in which demand moves.
    static constexpr Duration TimeConstant = std::chrono::seconds(2);
    /// Rates below this, in requests per second, are forgotten.
    static constexpr double Forgotten = 0.002;

    /// A request arrived that will keep an engine busy for the given time.
    void note(const std::string &model, uint32_t promptTokens, uint32_t outputTokens, double workMs,
              Instant now);
    /// A request found no engine for its model.
    void noteRefused(const std::string &model, Instant now);
    /// Rates of all models that were asked for lately.
    proto::DemandReport report(Instant now);

private:
    struct Rate
    {
        double requests = 0;
        double promptTokens = 0;
        double outputTokens = 0;
        double refused = 0;
        double workMs = 0;
        Instant at{};

        void decay(Instant now);
    };

    std::map<std::string, Rate> rates;
};

} // namespace tray
