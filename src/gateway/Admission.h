// The admission of one request at one engine, from the first ask to the end of the attempt.
#pragma once

#include "dispatch/AdmissionWait.h"
#include "gateway/AdmissionClient.h"
#include "gateway/AsyncCondition.h"
#include "gateway/EventGaps.h"

#include <memory>
#include <optional>

namespace tray {

/// What a version of the configuration states about an engine; 0 if it does not.
struct StatedCapacity
{
    uint64_t configVersion = 0;
    uint32_t slots = 0;
    /// Memory for prompts and running requests, in tokens.
    uint32_t kvTokens = 0;
};

/// What a steward needs to know of a request.
struct AdmissionQuery
{
    std::string upstreamId;
    /// Start time of the engine's listed incarnation, in ms since 1970.
    uint64_t startedAtMs = 0;
    Address steward;
    /// The steward is in another region.
    bool isRemote = false;
    /// Priority from 0 (first) to 9.
    int priority = 0;
    /// Digest of the client account's name; 0 if there is none.
    uint64_t account = 0;
    uint32_t promptTokens = 0;
    /// Prefill time on the fastest engines, in ms.
    double prefillMs = 0;
    /// Memory that the request needs until its end, in tokens.
    uint64_t kvTokens = 0;
    /// Time until which the request may be queued.
    Instant queueLimit{};
    Instant deadline{};
    /// Longest pause between two events that the route accepts.
    Duration eventGap{};
    /// Usual gap between events at the fastest engines; 0 if unknown.
    Duration fastestGap{};
    /// Not set if the configuration does not have the engine's service.
    std::optional<StatedCapacity> capacity;
};

/// Its end, by whatever way the request takes, tells the steward that the request uses the engine
/// no more.
class Admission
{
public:
    Admission(std::weak_ptr<AdmissionClient> client, AdmissionQuery request, Instant now);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /// Sends an ask if one is due.
    void advance(Instant now);
    /// Waits until advance() is due, a reply has arrived or wake() is called.
    boost::asio::awaitable<void> waitForChange(Instant now);
    void wake() { this->changed.notifyAll(); }
    /// Records that the request waits no more. The destructor does so, too.
    void endWait();
    const AdmissionWait &progress() const { return this->wait; }

    /// Records that the request is being sent to the engine.
    void noteSent(Instant now) { this->sentAt = now; }
    /// Records that an event, or an answer that is no stream, has arrived from the engine.
    void noteEvent(Instant now);
    /// Records a gap between two events of the stream, except one that the caller may have caused.
    void noteGap(Duration gap) { this->gaps.add(gap); }

private:
    friend class AdmissionClient;

    void handleReply(const proto::AdmissionReply &reply, Instant now);
    proto::AdmissionNote makeNote(proto::AdmissionStage stage) const;

    // Requests may outlive the gateway and its client.
    const std::weak_ptr<AdmissionClient> client;
    const AdmissionQuery request;
    uint64_t ticket = 0;
    uint64_t incarnation = 0;
    AdmissionWait wait;
    AsyncCondition changed;
    bool isWaiting = true;
    Instant sentAt{};
    std::optional<Duration> firstEventAfter;
    EventGaps gaps;
};

} // namespace tray
