// How fast engines read the prompts of each model, learned from answers.
#pragma once

#include <map>
#include <string>

namespace tray {

/// The configuration does not tell a model's pace, and models differ several times. The quickest
/// answers show it: all others also waited.
class PaceMeter
{
public:
    /// Assumed before the first answer, in ms a token: the slowest models in use.
    static constexpr double DefaultMsPerToken = 0.052;
    /// Prompts with fewer unshared tokens say more of the network than of the engine.
    static constexpr uint32_t MinTokens = 300;
    /// Growth of the estimate for each answer that is slower, so that it can follow a change.
    static constexpr double Relaxation = 1.01;

    /// An answer began after this time; tokens are those that no earlier request can have left.
    void note(const std::string &model, uint32_t tokens, double firstAnswerMs);
    double msPerToken(const std::string &model) const;

private:
    std::map<std::string, double> paces;
};

} // namespace tray
