// Opens, confirms and dismisses cases of broken connections.
#include "routing/CrashTracker.h"

#include <algorithm>

namespace tray {

SuspectVerdict CrashTracker::verdict(uint64_t contentDigest, Instant now) const
{
    const uint32_t crashes = this->suspects.crashCount(contentDigest, now);
    if (crashes >= MaxCrashes)
        return SuspectVerdict::Refused;
    return crashes > 0 ? SuspectVerdict::RunAlone : SuspectVerdict::Unsuspected;
}

void CrashTracker::recordBreak(uint64_t contentDigest, const std::string &upstream,
                               const std::string &incarnation, Instant now)
{
    this->expire(now);
    if (this->openCases.size() < MaxOpenCases)
        this->openCases.push_back({upstream, incarnation, contentDigest, now});
}

std::vector<proto::Suspect> CrashTracker::recordEnd(const std::string &upstream, Instant now)
{
    this->expire(now);
    std::vector<proto::Suspect> changes;
    for (const auto &open : this->openCases) {
        if (open.upstream == upstream &&
            this->suspects.recordCrash(open.contentDigest, open.incarnation, now))
            changes.push_back(this->suspects.find(open.contentDigest, now));
    }
    std::erase_if(this->openCases, [&](const OpenCase &open) { return open.upstream == upstream; });
    return changes;
}

bool CrashTracker::recordAlive(const std::string &upstream, Instant since)
{
    std::erase_if(this->openCases, [&](const OpenCase &open) {
        return open.upstream == upstream && open.brokeAt <= since;
    });
    return std::any_of(this->openCases.begin(), this->openCases.end(),
                       [&](const OpenCase &open) { return open.upstream == upstream; });
}

std::vector<proto::Suspect> CrashTracker::recordCompletion(uint64_t contentDigest, Instant now)
{
    std::erase_if(this->openCases,
                  [&](const OpenCase &open) { return open.contentDigest == contentDigest; });
    if (!this->suspects.recordCompletion(contentDigest, now))
        return {};
    return {this->suspects.find(contentDigest, now)};
}

std::vector<proto::Suspect> CrashTracker::merge(const proto::SuspectReport &report, Instant now)
{
    std::vector<proto::Suspect> changes;
    for (const auto &suspect : report.suspects()) {
        if (this->suspects.merge(suspect, now))
            changes.push_back(this->suspects.find(suspect.content_digest(), now));
    }
    return changes;
}

void CrashTracker::expire(Instant now)
{
    this->suspects.expire(now);
    std::erase_if(this->openCases,
                  [&](const OpenCase &open) { return open.brokeAt + CaseLifetime <= now; });
}

} // namespace tray
