// Chooses the upstream for a request by load, held models, distance and health.
#pragma once

#include "base/Result.h"
#include "dispatch/EnginePace.h"
#include "dispatch/PrefillTimeEstimator.h"
#include "dispatch/PrefixIndex.h"
#include "dispatch/UpstreamDirectives.h"
#include "dispatch/UpstreamHealth.h"
#include "fleet/UpstreamDirectory.h"

#include "fleet.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace tray {

/// What a request needs from an upstream.
struct DispatchQuery
{
    std::string service;
    /// Both are empty for services without models.
    std::string model;
    std::string adapter;
    uint32_t promptTokens = 0;
    /// Key of the prompt's shared prefix; 0 if there is none. Requests with the same key reuse each
    /// other's prefill work on one engine.
    uint64_t sharedPrefixKey = 0;
    uint32_t sharedPrefixTokens = 0;
    /// Parts that the prompt may share with others, in order; used if the service's load is
    /// managed.
    std::vector<PromptPart> sharedParts;
    /// Software version of the upstream that began the stream; not set if any version may serve the
    /// request.
    std::optional<std::string> softwareVersion;
    /// Upstreams that earlier attempts of the request were sent to; none of them is chosen again.
    std::set<std::string> tried;
};

/// Decision to send the request to this upstream.
struct DispatchTarget
{
    std::string upstreamId;
    Address address;
    /// The engine lacks the adapter, which must be loaded before the request is sent.
    bool needsAdapter = false;
    /// Age of the engine's snapshot; negative if there is no fresh one.
    Duration snapshotAge{-1};
    double costMs = 0;
    /// Tokens of the prompt that the engine is expected to hold already.
    uint32_t cachedTokens = 0;
};

/// Decision to refuse the request: no upstream can take it now.
struct DispatchRefusal
{
    ErrorKind kind = ErrorKind::NoReplica;
    std::string reason;
    Duration retryAfter{};
    /// Expected time until requests can be sent to an engine that is loading the model, or to an
    /// upstream that takes none now; not set if there is no such upstream.
    std::optional<Duration> readyIn;
    /// Directive of the upstreams that could serve the request otherwise.
    DirectiveKind forbiddenBy = DirectiveKind::None;
};

/// Decision to queue the request: the best upstream is still prefilling other prompts of this
/// instance. Choose again once one of these prefills has finished.
///
/// An engine prefills prompts in large chunks between the decode steps of its running requests. Two
/// prompts sent concurrently are answered no sooner than two sent one after the other, but the
/// running streams pause for both. Prompts are therefore sent one at a time and queued at the
/// instance.
struct DispatchWait
{
    std::string upstreamId;
    /// Expected wait at that upstream, in ms.
    double costMs = 0;
    /// Upstreams that are eligible for the request, each counted as its speed against the fastest
    /// ones; their number if the service's load is not managed.
    double candidates = 0;
};

using DispatchDecision = std::variant<DispatchTarget, DispatchWait, DispatchRefusal>;

/// Time to the first event of a stream, and what its engine had to do for it.
struct FirstEventSample
{
    std::string model;
    uint32_t promptTokens = 0;
    /// Tokens of the prompt that no earlier request can have left in the engine's cache.
    uint32_t ownTokens = 0;
    /// Prompt tokens that the engine may have had to prefill before, as promptTokensAhead() gave
    /// them.
    uint64_t tokensAhead = 0;
    double elapsedMs = 0;
};

/// Identifies an attempt from its start to its end.
using AttemptTicket = uint64_t;

/// Location of an upstream relative to this instance.
enum class Proximity : uint8_t { SameDataCentre, SameRegion, OtherRegion };

class Dispatcher
{
public:
    /// Snapshots older than this are not used.
    static constexpr Duration SnapshotLifetime = std::chrono::seconds(2);
    /// An engine that lacks a model of its entry in the instance list has restarted. Until a
    /// snapshot from its steward arrives or the entry changes, the models of the entry are ignored
    /// for this long.
    static constexpr Duration ListDistrustTime = std::chrono::seconds(4);
    /// Time after which a new start of an upstream that has refused connections would be listed,
    /// while the list is reliable: several of its heartbeats.
    static constexpr Duration StartListingTime = UpstreamDirectory::LapseTime;
    /// Least time between two reports that an upstream refuses connections.
    static constexpr Duration RefusalRepeatTime = std::chrono::seconds(1);

    /// Number of upstreams in other regions up to which the snapshots of all of them are received,
    /// which takes some 10 KB/s. With more of them an instance receives only the snapshots of those
    /// that it uses, so that its share of the link between regions does not grow with the fleet.
    static constexpr size_t MaxRemoteUpstreams = 32;
    /// Time for which the snapshots of an engine in another region are received after it was
    /// chosen, if there are more upstreams in other regions than the limit.
    static constexpr Duration SnapshotInterestTime = std::chrono::seconds(10);

    /// Time for which a steward that has not replied to asks for admission is not asked again.
    static constexpr Duration SilentStewardTime = std::chrono::seconds(1);
    /// Factor from which countSlow() counts an upstream.
    static constexpr double SlowFactor = 1.5;

    using ProximityLookup = std::function<Proximity(const std::string &dataCentre)>;

    /// Instances with different choice seeds spread equal choices differently; the seed has an
    /// effect only for services whose load is managed.
    explicit Dispatcher(ProximityLookup proximityOf,
                        UpstreamDirectives::ShareLookup limitShareOf = {}, uint64_t choiceSeed = 0)
        : proximityOf(std::move(proximityOf)), upstreamDirectives(std::move(limitShareOf)),
          choiceSeed(choiceSeed)
    {}

    /// Replaces the instance list.
    void setUpstreams(const std::map<std::string, UpstreamEntry> &entries);
    /// Stores a steward's snapshot of its engine. Returns true if the models that the engine holds,
    /// loads or unloads, or its readiness for orders, differ from the previous snapshot.
    bool noteSnapshot(const proto::EngineSnapshot &snapshot, Instant now);

    DispatchDecision choose(const DispatchQuery &query, Instant now) const;
    /// Whether the directives of an upstream that was chosen earlier still allow a request.
    bool takesRequests(const std::string &upstreamId, Instant now) const;
    /// Whether the upstream is listed and has the software version, if one is given.
    bool hasVersion(const std::string &upstreamId,
                    const std::optional<std::string> &softwareVersion) const;
    /// Whether the upstream may have started again since the list named its software version:
    /// a steward has reported a later incarnation, or the upstream has refused connections.
    bool isIncarnationDoubtful(const std::string &upstreamId) const;
    /// Whether this holds for any upstream of the service.
    bool hasDoubtfulIncarnation(const std::string &service) const;
    /// Records that an upstream of this start time has refused a connection. Returns whether others
    /// are to be told.
    bool noteRefusal(const std::string &upstreamId, uint64_t startedAtMs, Instant now);
    /// Records that the list was complete and reliable as of a time. An upstream that has refused
    /// connections so long before that a new start would be listed has not started again.
    void endDoubts(Instant asOf);
    /// Records that this incarnation of an upstream ran at a time, as its steward has seen.
    void noteRunning(const std::string &upstreamId, uint64_t startedAtMs, Instant at);
    /// Whether an answer that had begun to arrive at a time came from this incarnation of an
    /// upstream, whether or not the upstream has restarted since: the incarnation is known to have
    /// run then or later, or no later start can have been before.
    bool isAnswerOf(const std::string &upstreamId, uint64_t startedAtMs, Instant begunAt) const;
    /// Records that the upstream was chosen for a request.
    void noteChosen(const std::string &upstreamId, Instant now);
    /// Whether this instance is to receive the snapshots of the upstream's engine.
    bool wantsSnapshots(const std::string &upstreamId, Instant now) const;

    /// Records that a request was sent. Every attempt that begins must be ended.
    AttemptTicket beginAttempt(const std::string &upstreamId, const DispatchQuery &query,
                               Instant now);
    /// Records that the first bytes of an answer arrived.
    void noteFirstAnswer(const std::string &upstreamId, AttemptTicket ticket);
    /// Prefill times of the models, for reading and for adding samples.
    PrefillTimeEstimator &prefillTimes() { return this->prefillTimeEstimator; }
    /// Records the end of an attempt, with or without a first answer.
    void endAttempt(const std::string &upstreamId, AttemptTicket ticket, AttemptOutcome outcome,
                    Instant now);
    /// What the upstreams have asked for in their answers.
    UpstreamDirectives &directives() { return this->upstreamDirectives; }
    /// Records the load that an upstream reported in an answer.
    void noteLoad(const std::string &upstreamId, uint32_t running, uint32_t waiting, Instant now);
    /// Whether the steward beside the engine is to be asked before a request is sent to it.
    bool usesAdmission(const std::string &upstreamId, Instant now) const;
    /// Records the time until a steward expects to grant a request that it has queued or refused.
    void noteAdmissionWait(const std::string &upstreamId, Duration expected, Instant now);
    /// Whether a request that the steward of an engine has queued for the given time would be
    /// answered clearly sooner at another engine.
    bool isFasterElsewhere(const std::string &upstreamId, Duration expected,
                           const DispatchQuery &query, Instant now) const;
    /// Records that a steward does not reply to asks for admission.
    void noteSilentSteward(const std::string &upstreamId, Instant now);
    /// Records that a request is about to ask for admission at an engine. Every ask that begins
    /// must be ended.
    void beginAdmission(const std::string &upstreamId, uint32_t promptTokens);
    void endAdmission(const std::string &upstreamId, uint32_t promptTokens);
    /// Records the time that work takes on an upstream's machine, in percent of the usual time, as
    /// the upstream reports it; 0 is ignored.
    void notePace(const std::string &upstreamId, uint32_t pacePercent, Instant now);
    /// Whether an upstream of the service has ever reported a pace.
    bool reportsPace(const std::string &service) const;
    /// Sets whether the configuration in force has client accounts.
    void setHasAccounts(bool hasAccounts) { this->hasAccounts = hasAccounts; }
    /// Whether requests to the service's engines ask for admission, and engines are chosen by pace,
    /// pauses and held prefixes: accounts compete for the engines, or the engines differ in speed.
    /// All other services are served as if nothing of this were known.
    bool managesLoad(const std::string &service) const;
    /// Prompt tokens that the engine may have to prefill before a prompt that is sent now: those of
    /// this instance, and for each request that the snapshot shows waiting a prompt of this size.
    uint64_t promptTokensAhead(const std::string &upstreamId, uint32_t promptTokens,
                               Instant now) const;
    /// Records the time to the first event of a stream at this incarnation of the upstream.
    void noteFirstEvent(const std::string &upstreamId, uint64_t startedAtMs,
                        const FirstEventSample &sample, Instant now);
    /// Records the median gap between the events of a stream, at its end.
    void noteMedianGap(const std::string &upstreamId, uint64_t startedAtMs,
                       const std::string &model, double medianMs, Instant now);
    /// Records a pause of a stream as a multiple of the pause that its route accepts.
    void notePause(const std::string &upstreamId, uint64_t startedAtMs, double timesAccepted,
                   Instant now);
    /// Usual gap between the events of a stream at the fastest engines of a service; zero if no
    /// steward has told one.
    Duration fastestGap(const std::string &service) const;
    /// Time that work takes at the upstream, as a multiple of the time at the fastest ones; 1 if
    /// the load of its service is not managed.
    double slowness(const std::string &upstreamId, Instant now) const;
    /// Records that this incarnation of an upstream has prefilled the prompt of a request, so that
    /// it holds the shared parts. Has no effect if the service's load is not managed.
    void notePrefilled(const std::string &upstreamId, uint64_t startedAtMs,
                       const DispatchQuery &query, Instant now);
    /// Prefixes that the upstreams are expected to hold.
    const PrefixIndex &prefixes() const { return this->prefixIndex; }
    /// Number of upstreams of managed services at which work takes SlowFactor times as long as at
    /// the fastest ones, or longer.
    size_t countSlow(Instant now) const;
    /// Number of upstreams of managed services whose streams usually pause for longer than
    /// accepted.
    size_t countPausing(Instant now) const;
    /// Records an upstream's answer that it lacks the model or adapter of a request: the view of
    /// the upstream is stale. Returns true if the models in its entry of the instance list are
    /// ignored from now on.
    bool noteModelMissing(const std::string &upstreamId, const std::string &model,
                          const std::string &adapter, Instant now);
    /// Time after which a caller should retry a request for a model that the engines lack.
    Duration retryForMissing(const DispatchQuery &query, Instant now) const;

    /// Models and adapters of an upstream, from a fresh snapshot or else from the instance list.
    std::vector<HeldModel> heldModels(const std::string &upstreamId, Instant now) const;
    /// Latest snapshot of an engine; null if there is no fresh one.
    const proto::EngineSnapshot *snapshotOf(const std::string &upstreamId, Instant now) const;
    bool holds(const std::string &upstreamId, const std::string &model, const std::string &adapter,
               Instant now) const;

private:
    /// An attempt that has had no first answer yet.
    struct PendingAttempt
    {
        Instant began;
        uint32_t promptTokens;
        // Time by which a healthy upstream has answered.
        Instant dueAt;
    };

    struct Upstream
    {
        UpstreamEntry entry;
        UpstreamHealth health;
        EnginePace pace;
        Proximity proximity = Proximity::SameDataCentre;
        // Hash of the id, from which the spread of equal choices is drawn.
        uint64_t idHash = 0;
        // Attempts of this instance that have not ended.
        uint32_t inFlight = 0;
        std::map<AttemptTicket, PendingAttempt> pendingAttempts;
        std::optional<proto::EngineSnapshot> snapshot;
        std::vector<HeldModel> snapshotModels;
        // Start time in the latest snapshot of a later incarnation than that of the list entry; 0
        // if there was none.
        uint64_t laterStartedAtMs = 0;
        // Time until which the listed incarnation is known not to have been replaced by a later
        // one.
        Instant ranUntil{};
        // The incarnation before the listed one; the start time is 0 if there was none.
        uint64_t previousStartedAtMs = 0;
        Instant previousRanUntil{};
        // Last time at which the listed incarnation refused a connection; empty once the list has
        // shown that it runs on.
        std::optional<Instant> refusedAt;
        // Last time at which noteRefusal() returned true for the listed incarnation.
        std::optional<Instant> refusalReportedAt;
        Instant snapshotAt{};
        // Last time that the upstream was chosen; not set if it never was.
        std::optional<Instant> lastChosenAt;
        // The models in the list entry are ignored until then, or until the entry's models or start
        // time change.
        Instant listDistrustedUntil{};
        // Attempts begun since the last snapshot or reported load.
        uint32_t attemptsSinceReport = 0;
        uint32_t reportedRunning = 0;
        uint32_t reportedWaiting = 0;
        Instant loadReportedAt{};
        // Tokens of the prompts that wait here for their admission at the engine.
        uint64_t askedPromptTokens = 0;
        // Time at which the steward expects to grant a request that asks now, from its last reply
        // or snapshot.
        Instant admissionExpectedAt{};
        // The steward is not asked for admission until then.
        Instant stewardSilentUntil{};
    };

    /// What the costs of all upstreams for one query have in common.
    struct CostBasis
    {
        // Whether the load of the query's service is managed and the query names a model.
        bool isManaged = false;
        double msPerToken = 0;
        // Hash of the model and adapter; 0 without an adapter.
        uint64_t adapterKey = 0;
        HeldPrefix heldPrefix;
        // Differs from instance to instance and from one sent request to the next.
        uint64_t spreadKey = 0;
    };

    /// Applies the usual gap between events that a steward has told.
    void noteUsualGap(Upstream &upstream, double gapUs, Instant now);
    CostBasis costBasis(const DispatchQuery &query, Instant now) const;
    /// Tokens of the prompt that an engine is expected to hold, less with fuller memory.
    double heldPrefixTokens(const Upstream &upstream, const CostBasis &basis, Instant now) const;
    /// Change of an engine's cost by what it is expected to hold of the prompt.
    double heldPrefixCostMs(const Upstream &upstream, const DispatchQuery &query,
                            const CostBasis &basis, double slowness, Instant now) const;
    /// Pace of an upstream if it is for this incarnation of it; null otherwise.
    EnginePace *paceOf(const std::string &upstreamId, uint64_t startedAtMs);
    /// Charge for the pauses of the upstream's streams, and the random part that spreads the
    /// choices of instances with equal views.
    static double pacingChargeMs(const Upstream &upstream, const CostBasis &basis, Instant now);
    bool hasFreshSnapshot(const Upstream &upstream, Instant now) const;
    bool wantsSnapshots(const Upstream &upstream, Instant now) const;
    const std::vector<HeldModel> &currentModels(const Upstream &upstream, Instant now) const;
    bool isEligible(const Upstream &upstream, const DispatchQuery &query, Instant now) const;
    static bool isIncarnationDoubtful(const Upstream &upstream);
    static bool hasVersion(const Upstream &upstream,
                           const std::optional<std::string> &softwareVersion);
    DirectiveVerdict directiveVerdict(const Upstream &upstream, Instant now) const;
    /// Soonest time at which the directives allow a request to an eligible upstream.
    DirectiveVerdict soonestAllowed(const DispatchQuery &query, Instant now) const;
    bool usesAdmission(const Upstream &upstream, Instant now) const;
    /// Time that a request would wait for its admission, in ms.
    double admissionWaitMs(const Upstream &upstream, Instant now) const;
    double costMs(const Upstream &upstream, const DispatchQuery &query, const CostBasis &basis,
                  Instant now) const;
    double engineCostMs(const Upstream &upstream, const DispatchQuery &query,
                        const CostBasis &basis, Instant now) const;
    double serviceCostMs(const Upstream &upstream, Instant now) const;
    bool hasPrefillCapacity(const Upstream &upstream, const DispatchQuery &query,
                            const CostBasis &basis, Instant now) const;
    /// Eligible upstreams that take requests, counted as DispatchWait::candidates.
    double countCandidates(const DispatchQuery &query, const CostBasis &basis, Instant now) const;
    static uint64_t pendingPromptTokens(const Upstream &upstream);
    static int overdueAttempts(const Upstream &upstream, Instant now);
    /// Whether an upstream of the query's software version that was not tried is there to stay,
    /// even if it cannot take the request now.
    bool canContinue(const DispatchQuery &query, Instant now) const;
    DispatchRefusal makeRefusal(const DispatchQuery &query, Instant now) const;
    std::optional<Duration> timeUntilLoaded(const DispatchQuery &query, Instant now) const;

    const ProximityLookup proximityOf;
    std::map<std::string, Upstream> upstreams;
    size_t remoteUpstreamCount = 0;
    // Time as of which the list was last known to be complete; its changes since the list before
    // may not be applied yet.
    Instant listKnownAsOf{};
    PrefillTimeEstimator prefillTimeEstimator;
    UpstreamDirectives upstreamDirectives;
    const uint64_t choiceSeed;
    PrefixIndex prefixIndex;
    bool hasAccounts = false;
    // Services of which an upstream has reported a pace since this instance started.
    std::set<std::string> pacedServices;
    // Usual event gap at the fastest engines of each service according to the stewards, in us, and
    // the time of the last snapshot that told one.
    struct FastestGap
    {
        double gapUs = 0;
        Instant updatedAt{};
    };
    std::map<std::string, FastestGap> fastestUsualGaps;
    // Median event gap at the fastest engines of each model, in ms.
    std::map<std::string, double> fastestGapMs;
    AttemptTicket nextTicket = 1;
};

} // namespace tray
