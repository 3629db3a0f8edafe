// Keeps each model's rates as sums that decay exponentially between updates.
#include "gateway/DemandMeter.h"

#include <algorithm>
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

void DemandMeter::handleConfig(const FleetConfig &config)
{
    this->configuredModels.clear();
    for (const auto &service : config.services) {
        if (!service.engine)
            continue;
        for (const auto &model : service.engine->models)
            this->configuredModels.insert(model.name);
    }
    std::erase_if(this->rates,
                  [&](const auto &item) { return !this->configuredModels.contains(item.first); });
}

void DemandMeter::recordRequest(const std::string &model, uint32_t promptTokens,
                                uint32_t outputTokens, double workMs, Instant now)
{
    if (!this->configuredModels.contains(model))
        return;
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
    if (!this->configuredModels.contains(model))
        return;
    auto &rate = this->rates[model];
    rate.decay(now);
    rate.refusalsPerSecond += 1 / seconds(TimeConstant);
}

void DemandMeter::recordWaitingContinuation(const std::string &service, const std::string &model,
                                            const std::string &softwareVersion, Instant now)
{
    if (!this->configuredModels.contains(model))
        return;
    this->continuations[{service, model, softwareVersion}] = now;
    if (this->continuations.size() > MaxContinuations)
        this->continuations.erase(std::min_element(
            this->continuations.begin(), this->continuations.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; }));
}

proto::DemandReport DemandMeter::makeReport(Instant now)
{
    proto::DemandReport report;
    std::erase_if(this->continuations,
                  [&](const auto &item) { return now >= item.second + ContinuationLifetime; });
    for (const auto &[key, waitedAt] : this->continuations) {
        auto *row = report.add_continuations();
        row->set_service(key.service);
        row->set_model(key.model);
        row->set_software_version(key.softwareVersion);
    }
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
