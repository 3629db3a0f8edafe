// Decaying sums of requests and tokens.
#include "gateway/DemandMeter.h"

#include <cmath>

namespace tray {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DemandMeter::Rate::decay(Instant now)
{
    const double factor = std::exp(-seconds(now - this->at) / seconds(TimeConstant));
    this->requests *= factor;
    this->promptTokens *= factor;
    this->outputTokens *= factor;
    this->refused *= factor;
    this->workMs *= factor;
    this->at = now;
}

void DemandMeter::note(const std::string &model, uint32_t promptTokens, uint32_t outputTokens,
                       double workMs, Instant now)
{
    auto &rate = this->rates[model];
    rate.decay(now);
    // A sum that decays with the time constant is the rate times that constant.
    rate.requests += 1 / seconds(TimeConstant);
    rate.promptTokens += promptTokens / seconds(TimeConstant);
    rate.outputTokens += outputTokens / seconds(TimeConstant);
    rate.workMs += workMs / seconds(TimeConstant);
}

void DemandMeter::noteRefused(const std::string &model, Instant now)
{
    auto &rate = this->rates[model];
    rate.decay(now);
    rate.refused += 1 / seconds(TimeConstant);
}

proto::DemandReport DemandMeter::report(Instant now)
{
    proto::DemandReport report;
    for (auto it = this->rates.begin(); it != this->rates.end();) {
        auto &rate = it->second;
        rate.decay(now);
        if (rate.requests < Forgotten && rate.refused < Forgotten) {
            it = this->rates.erase(it);
            continue;
        }
        auto *row = report.add_models();
        row->set_model(it->first);
        row->set_requests_milli(static_cast<uint32_t>(rate.requests * 1000));
        row->set_prompt_tokens(static_cast<uint32_t>(rate.promptTokens));
        row->set_output_tokens(static_cast<uint32_t>(rate.outputTokens));
        row->set_refused_milli(static_cast<uint32_t>(rate.refused * 1000));
        row->set_work_ms(static_cast<uint32_t>(rate.workMs));
        ++it;
    }
    return report;
}

} // namespace tray
