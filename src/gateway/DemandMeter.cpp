// Keeps each model's rates as sums that decay exponentially between updates.
#include "gateway/DemandMeter.h"

#include <cmath>

namespace tray {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DemandMeter::ModelRates::decay(Instant now)
{
    const double factor = std::exp(-seconds(now - this->updatedAt) / seconds(TimeConstant));
    this->requestsPerSecond *= factor;
    this->promptTokensPerSecond *= factor;
    this->outputTokensPerSecond *= factor;
    this->refusalsPerSecond *= factor;
    this->workMsPerSecond *= factor;
    this->updatedAt = now;
}

void DemandMeter::recordRequest(const std::string &model, uint32_t promptTokens,
                                uint32_t outputTokens, double workMs, Instant now)
{
    auto &rate = this->rates[model];
    rate.decay(now);
    // In a steady state, a sum that decays with the time constant equals the rate multiplied by
    // that constant, so each sample is divided by the constant.
    rate.requestsPerSecond += 1 / seconds(TimeConstant);
    rate.promptTokensPerSecond += promptTokens / seconds(TimeConstant);
    rate.outputTokensPerSecond += outputTokens / seconds(TimeConstant);
    rate.workMsPerSecond += workMs / seconds(TimeConstant);
}

void DemandMeter::recordRefusal(const std::string &model, Instant now)
{
    auto &rate = this->rates[model];
    rate.decay(now);
    rate.refusalsPerSecond += 1 / seconds(TimeConstant);
}

proto::DemandReport DemandMeter::makeReport(Instant now)
{
    proto::DemandReport report;
    for (auto it = this->rates.begin(); it != this->rates.end();) {
        auto &rate = it->second;
        rate.decay(now);
        if (rate.requestsPerSecond < MinTrackedRatePerSecond &&
            rate.refusalsPerSecond < MinTrackedRatePerSecond) {
            it = this->rates.erase(it);
            continue;
        }
        auto *row = report.add_models();
        row->set_model(it->first);
        row->set_requests_milli(static_cast<uint32_t>(rate.requestsPerSecond * 1000));
        row->set_prompt_tokens(static_cast<uint32_t>(rate.promptTokensPerSecond));
        row->set_output_tokens(static_cast<uint32_t>(rate.outputTokensPerSecond));
        row->set_refused_milli(static_cast<uint32_t>(rate.refusalsPerSecond * 1000));
        row->set_work_ms(static_cast<uint32_t>(rate.workMsPerSecond));
        ++it;
    }
    return report;
}

} // namespace tray
