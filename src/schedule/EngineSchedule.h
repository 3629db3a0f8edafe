// Decides when requests of all gateways may be sent to one engine.
//
// An engine prefills prompts between the decode steps of its running streams, so prompts that
// arrive together make all of these streams pause. Only the steward beside the engine sees the
// prompts of all gateways. Its state is not stored: after a restart the engine's report stands for
// the requests that were granted before.
#pragma once

#include "base/FairOrder.h"
#include "schedule/AdmissionRequest.h"
#include "schedule/EngineCapacity.h"
#include "schedule/LearntPace.h"
#include "schedule/PrefillLimit.h"
#include "schedule/PrefillWindow.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tray {

/// Load of an engine according to its own report.
struct EngineLoad
{
    uint32_t requests = 0;
    uint32_t kvUsedTokens = 0;
    /// Time that work takes on its machine, in percent of the usual time; 0 if unknown.
    uint32_t pacePercent = 0;
};

class EngineSchedule
{
public:
    /// Time after which a queued request whose ask is not repeated is dropped. Gateways repeat it
    /// every 100 ms.
    static constexpr Duration AskLifetime = milliseconds(600);
    /// Time without any datagram after which a gateway's requests are dropped. Gateways renew their
    /// subscriptions several times within it.
    static constexpr Duration SenderLifetime = std::chrono::seconds(4);

    /// What is to be done after an event.
    struct Step
    {
        std::vector<AdmissionReply> replies;
        /// Time of the next poll unless an event comes first; none if nothing is queued.
        std::optional<Instant> nextAt;
    };

    /// Sets what the engine can run. Granted requests remain granted; queued ones that need more
    /// memory than the engine has are refused.
    void setCapacity(const EngineCapacity &capacity);
    /// Handles an ask or its repetition. poll() returns the reply.
    void ask(const AdmissionRequest &request, Instant now);
    /// Notes that a request was not sent, or that its caller has left.
    void cancel(AdmissionKey key, Instant now);
    /// Notes the first event of a request and the time that it took since the request was sent.
    void noteFirstEvent(AdmissionKey key, Duration firstEvent, Instant now);
    void noteEnd(AdmissionKey key, const StreamPauses &pauses, Instant now);
    /// Notes that a gateway lives; asks show it too.
    void noteSender(const std::string &sender, Instant now);
    void noteLoad(const EngineLoad &load, Instant now);
    /// Forgets all requests, and what was learnt about the previous process of the engine.
    void noteEngineRestart();
    /// Drops what is queued after a pause of this process; requests that still wait are repeated.
    void noteProcessPause(Instant now);
    /// Grants what there is room for. To be called after each event and at the returned time.
    Step poll(Instant now);

    size_t queueSize() const { return this->waiting.size(); }
    size_t grantedCount() const { return this->granted.size(); }
    uint64_t grantedTokens() const { return this->reservedTokens; }
    double pace() const { return this->learntPace.value(); }
    /// Returns the usual gap between events without momentary slowdowns; zero if unknown.
    Duration usualGap() const { return this->learntPace.usualGap(); }
    /// Returns the usual longest pause of streams as a share of the accepted one; 0 if unknown.
    double pauseShare(Instant now) const { return this->limit.pauseShare(now); }
    /// Returns the prefill that is granted at present in an interval as long as the accepted pause.
    Duration prefillLimit() const;
    /// Predicts the wait of a usual request of the lowest priority that asks now.
    Duration expectedWaitOfNext(Instant now) const;

private:
    struct Waiter
    {
        AdmissionRequest request;
        // Order in which the requests arrived.
        uint64_t number;
        Instant arrivedAt;
        Instant askedAt;
        double fairTag;
        bool isReplyDue = true;
        bool wasReplied = false;
    };

    struct Grant
    {
        AdmissionRequest request;
        Instant grantedAt;
        Instant expiresAt;
        // Whether another prefill ran at some time before its first event.
        bool isOverlapped = false;
        bool hasFirstEvent = false;
    };

    struct Sender
    {
        uint64_t incarnation = 0;
        // Late datagrams of the previous process are ignored.
        uint64_t previousIncarnation = 0;
        Instant heardAt;
    };

    /// Returns whether the incarnation is the sender's present one, after dropping the requests of
    /// an earlier one.
    bool acceptSender(const AdmissionRequest &request, Instant now);
    void dropIncarnation(uint64_t incarnation, Instant now);
    void expire(Instant now);
    void release(std::map<AdmissionKey, Grant>::iterator place, Instant now);
    void close(AdmissionKey key);
    /// Sorts the queue in the order in which the requests are to be granted.
    void sortQueue(Instant now);
    void refuse(const Waiter &waiter, uint32_t expectedMs);
    void grant(const Waiter &waiter, Instant now);
    /// Whether a request needs more memory than the engine has.
    bool exceedsMemory(const AdmissionRequest &request) const;
    /// Whether slots and memory suffice for a request.
    bool hasRoom(const AdmissionRequest &request) const;
    Duration costOf(const AdmissionRequest &request) const;
    /// Returns the shortest pause that the callers of granted streams accept, if there are streams.
    std::optional<Duration> acceptedPause() const;
    Duration interval() const;
    Instant prefillFreeAt(const AdmissionRequest &request, Instant now) const;
    /// Predicts the wait of a request behind the given number of queued ones.
    Duration expectedWait(const AdmissionRequest &request, size_t ahead, Instant now) const;
    void answerAsks(Instant now);
    size_t maxQueue() const;

    EngineCapacity capacity;
    LearntPace learntPace;
    PrefillLimit limit;
    PrefillWindow window;
    FairOrder fairOrder;
    // At most maxQueue() entries after each poll().
    std::vector<Waiter> waiting;
    std::map<AdmissionKey, Grant> granted;
    // Sum of the tokens of the granted requests.
    uint64_t reservedTokens = 0;
    std::map<std::string, Sender> senders;
    // Requests that were cancelled or have ended, oldest first; a late ask must not queue them.
    std::deque<AdmissionKey> closedOrder;
    std::set<AdmissionKey> closed;
    std::vector<AdmissionReply> replies;
    uint64_t nextNumber = 0;
    // Requests and memory that the engine reports beyond the granted ones: those of a previous
    // process of this steward, and of gateways that got no reply.
    uint32_t foreignRequests = 0;
    uint64_t foreignTokens = 0;
    Instant loadAt{};
    // Most granted requests since the last report.
    size_t peakGranted = 0;
    // Running means of the time between two ends and of the memory that an end releases.
    Instant releasedAt{};
    double releaseIntervalMs = 200;
    double releasedTokens = 0;
};

} // namespace tray
