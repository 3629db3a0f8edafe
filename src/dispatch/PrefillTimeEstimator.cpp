// Running minimum of prefill times that rises slowly with slower samples.
#include "dispatch/PrefillTimeEstimator.h"

#include <algorithm>

namespace tray {

namespace {

// Lower bound on a sample, in ms per token; a shorter time stems from a cached prompt.
constexpr double MinMsPerToken = 0.004;
// Upper bound on a sample, in ms per token; a longer time stems from a stall.
constexpr double MaxMsPerToken = 0.1;

} // namespace

void PrefillTimeEstimator::addSample(const std::string &model, uint32_t tokens,
                                     double firstAnswerMs)
{
    if (tokens < MinSampleTokens)
        return;
    const double sample = std::clamp(firstAnswerMs / tokens, MinMsPerToken, MaxMsPerToken);
    auto [place, isNew] = this->msPerTokenByModel.try_emplace(model, sample);
    if (!isNew)
        place->second = std::min(sample, place->second * SlowerSampleGrowth);
}

double PrefillTimeEstimator::msPerToken(const std::string &model) const
{
    const auto found = this->msPerTokenByModel.find(model);
    return found == this->msPerTokenByModel.end() ? DefaultMsPerToken : found->second;
}

} // namespace tray
