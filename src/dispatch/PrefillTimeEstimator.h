// Estimates the prefill time of each model from the times to the first answers.
#pragma once

#include <map>
#include <string>

namespace tray {

/// Prefill time per token of each model. The configuration does not state it, and models differ
/// several times. The estimate follows the fastest answers, since all others include time in a
/// queue.
class PrefillTimeEstimator
{
public:
    /// Estimate before the first sample, in ms per token: the prefill time of the slowest models in
    /// use.
    static constexpr double DefaultMsPerToken = 0.052;
    /// Fewest unshared tokens of a prompt that is used as a sample; the answer to a shorter prompt
    /// depends more on the network than on the engine.
    static constexpr uint32_t MinSampleTokens = 300;
    /// Factor by which a slower sample may raise the estimate, so that the estimate can follow a
    /// change.
    static constexpr double SlowerSampleGrowth = 1.01;

    /// Adds the time from sending a prompt to its first answer. Only tokens that no earlier request
    /// can have left in the engine's cache count.
    void addSample(const std::string &model, uint32_t tokens, double firstAnswerMs);
    double msPerToken(const std::string &model) const;
    bool hasSamples(const std::string &model) const
    {
        return this->msPerTokenByModel.contains(model);
    }

private:
    std::map<std::string, double> msPerTokenByModel;
};

} // namespace tray
