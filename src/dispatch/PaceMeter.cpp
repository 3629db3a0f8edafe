// Running minimum of reading times.
#include "dispatch/PaceMeter.h"

#include <algorithm>

namespace tray {

namespace {

// Bounds on estimates, in ms a token; beyond them the sample is a cached prompt or a stall.
constexpr double Quickest = 0.004;
constexpr double Slowest = 0.1;

} // namespace

void PaceMeter::note(const std::string &model, uint32_t tokens, double firstAnswerMs)
{
    if (tokens < MinTokens)
        return;
    const double sample = std::clamp(firstAnswerMs / tokens, Quickest, Slowest);
    auto [place, isNew] = this->paces.try_emplace(model, sample);
    if (!isNew)
        place->second = std::min(sample, place->second * Relaxation);
}

double PaceMeter::msPerToken(const std::string &model) const
{
    const auto found = this->paces.find(model);
    return found == this->paces.end() ? DefaultMsPerToken : found->second;
}

} // namespace tray
