// Opens, confirms and dismisses cases of broken connections.
#include "routing/CrashTracker.h"

#include <algorithm>

namespace tray {

SuspectVerdict CrashTracker::judgeContent(uint64_t digest, Instant now) const
{
    const auto count = this->suspects.count(digest, now);
    if (count.crashes < MaxCrashes)
        return count.crashes > 0 ? SuspectVerdict::RunAlone : SuspectVerdict::Unsuspected;
    const auto probeAt = this->contentProbeDueAt(digest, now);
    return probeAt && now >= *probeAt ? SuspectVerdict::Probe : SuspectVerdict::Refused;
}

std::optional<Instant> CrashTracker::contentProbeDueAt(uint64_t digest, Instant now) const
{
    const auto count = this->suspects.count(digest, now);
    if (count.rounds >= MaxCrashes || count.probes >= MaxContentProbes)
        return std::nullopt;
    return count.lastEvidenceAt + ContentProbeDelay * (1u << count.probes) +
           ProbeSlot * this->probeOrder(digest);
}

SuspectVerdict CrashTracker::judgePart(uint64_t digest, Instant now) const
{
    const auto count = this->suspects.count(digest, now);
    if (count.crashes == 0)
        return SuspectVerdict::Unsuspected;
    const bool isTrusted = this->trustedParts.contains(digest);
    if (isTrusted && count.rounds < MaxCrashes)
        return SuspectVerdict::Unsuspected;
    const bool isConfirmed = isTrusted
                                 ? count.rounds >= MaxTrustedRounds
                                 : count.rounds >= MaxCrashes || count.crashes >= MaxPartCrashes;
    return isConfirmed ? SuspectVerdict::Refused : SuspectVerdict::RunAlone;
}

SuspectDecision CrashTracker::decide(const SuspectIdentity &request, Instant now) const
{
    SuspectDecision decision;
    const auto add = [&](uint64_t digest, SuspectVerdict verdict) {
        if (verdict > decision.verdict) {
            decision.verdict = verdict;
            decision.digest = digest;
        }
        if (verdict == SuspectVerdict::RunAlone || verdict == SuspectVerdict::Probe)
            decision.runAlone.push_back(digest);
        if (verdict == SuspectVerdict::Probe)
            decision.probes.push_back(digest);
    };
    const SuspectVerdict content = this->judgeContent(request.contentDigest, now);
    add(request.contentDigest, content);
    if (content == SuspectVerdict::Refused) {
        decision.retryAfter = this->suspects.timeLeft(request.contentDigest, now);
        if (const auto probeAt = this->contentProbeDueAt(request.contentDigest, now))
            decision.retryAfter = std::min<Duration>(decision.retryAfter, *probeAt - now);
    }
    std::vector<uint64_t> refused;
    for (const uint64_t digest : request.partDigests) {
        const SuspectVerdict part = this->judgePart(digest, now);
        if (part == SuspectVerdict::Refused)
            refused.push_back(digest);
        else
            add(digest, part);
    }
    if (refused.empty())
        return decision;
    const bool isSeparating =
        refused.size() == 1 || this->hasOtherExplanation(request, refused, now);
    // One order for all suspects of the request, so that one process is the first for all of them.
    const Duration slot =
        ProbeSlot * this->probeOrder(*std::min_element(refused.begin(), refused.end()));
    for (const uint64_t digest : refused) {
        const Instant probeAt = this->suspects.probeDueAt(digest, isSeparating) + slot;
        add(digest, now >= probeAt ? SuspectVerdict::Probe : SuspectVerdict::Refused);
        if (now < probeAt)
            decision.retryAfter =
                std::max(decision.retryAfter,
                         std::min<Duration>(probeAt - now, this->suspects.timeLeft(digest, now)));
    }
    return decision;
}

bool CrashTracker::hasOtherExplanation(const SuspectIdentity &request,
                                       const std::vector<uint64_t> &refused, Instant now) const
{
    const auto isElsewhere = [&](uint64_t digest) {
        const auto &own = request.partDigests;
        return digest != request.contentDigest && !this->trustedParts.contains(digest) &&
               std::find(own.begin(), own.end(), digest) == own.end();
    };
    return std::all_of(refused.begin(), refused.end(), [&](uint64_t digest) {
        const auto companions = this->suspects.findCompanions(digest, now);
        return std::any_of(companions.begin(), companions.end(), isElsewhere);
    });
}

void CrashTracker::recordBreak(const SuspectIdentity &request, const std::string &upstream,
                               const std::string &incarnation, Instant sentAt, Instant now)
{
    this->expire(now);
    if (this->openCases.size() < MaxOpenCases)
        this->openCases.push_back({upstream, incarnation, request, sentAt, now});
}

std::set<uint64_t> CrashTracker::findLikelyParts(const std::string &upstream) const
{
    std::set<uint64_t> trusted;
    std::set<uint64_t> doubtful;
    for (const auto &open : this->openCases) {
        if (open.upstream != upstream)
            continue;
        for (const uint64_t digest : open.request.partDigests)
            (this->trustedParts.contains(digest) ? trusted : doubtful).insert(digest);
    }
    return doubtful.empty() ? trusted : doubtful;
}

std::vector<proto::Suspect> CrashTracker::recordEnd(const std::string &upstream, Instant now)
{
    this->expire(now);
    std::vector<proto::Suspect> changes;
    const std::set<uint64_t> likely = this->findLikelyParts(upstream);
    const auto count = [&](uint64_t digest, const OpenCase &open) {
        const auto &probes = open.request.probes;
        const bool isProbe = std::find(probes.begin(), probes.end(), digest) != probes.end();
        const bool isOnly = likely.size() == 1 && likely.contains(digest);
        if (this->suspects.recordCrash(digest, open.incarnation, now,
                                       {open.sentAt, isProbe || isOnly}))
            changes.push_back(this->suspects.find(digest, now));
    };
    // A crash counts by the request that was sent first: it may be the one at fault.
    std::stable_sort(
        this->openCases.begin(), this->openCases.end(),
        [](const OpenCase &left, const OpenCase &right) { return left.sentAt < right.sentAt; });
    for (const auto &open : this->openCases) {
        if (open.upstream != upstream)
            continue;
        count(open.request.contentDigest, open);
        for (const uint64_t digest : open.request.partDigests)
            count(digest, open);
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
    std::erase_if(this->openCases, [&](const OpenCase &open) {
        return open.request.contentDigest == contentDigest;
    });
    if (!this->suspects.recordCompletion(contentDigest, now))
        return {};
    return {this->suspects.find(contentDigest, now)};
}

std::vector<proto::Suspect>
CrashTracker::recordSoundAnswer(const std::vector<uint64_t> &partDigests, Instant now)
{
    std::vector<proto::Suspect> changes;
    for (const uint64_t digest : partDigests) {
        this->trustedParts.insert(digest);
        for (auto &open : this->openCases)
            std::erase(open.request.partDigests, digest);
        if (this->suspects.recordCompletion(digest, now))
            changes.push_back(this->suspects.find(digest, now));
    }
    return changes;
}

std::vector<proto::Suspect> CrashTracker::recordProbes(const std::vector<uint64_t> &digests,
                                                       Instant now)
{
    std::vector<proto::Suspect> changes;
    for (const uint64_t digest : digests) {
        if (this->suspects.recordProbe(digest, now))
            changes.push_back(this->suspects.find(digest, now));
    }
    return changes;
}

std::vector<proto::Suspect> CrashTracker::merge(const proto::SuspectReport &report, Instant now)
{
    std::vector<proto::Suspect> changes;
    for (const auto &suspect : report.suspects()) {
        if (this->suspects.merge(suspect, now))
            changes.push_back(this->suspects.find(suspect.digest(), now));
    }
    return changes;
}

std::vector<proto::Suspect> CrashTracker::findRefused(size_t limit, Instant now) const
{
    std::vector<proto::Suspect> refused;
    for (const uint64_t digest : this->suspects.digestsOf(MaxCrashes, now)) {
        if (this->judgePart(digest, now) == SuspectVerdict::Refused)
            refused.push_back(this->suspects.find(digest, now));
    }
    std::stable_sort(refused.begin(), refused.end(), [](const auto &left, const auto &right) {
        return left.crashes() > right.crashes();
    });
    if (refused.size() > limit)
        refused.resize(limit);
    return refused;
}

void CrashTracker::expire(Instant now)
{
    this->suspects.expire(now);
    std::erase_if(this->openCases,
                  [&](const OpenCase &open) { return open.brokeAt + CaseLifetime <= now; });
}

} // namespace tray
