// Simulation of an object API with several owners of one claim shard that checks all verdicts.
#pragma once

#include "claims/ClaimShard.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tray::test {

/// Simulates one object API, several owners that do not know of each other, and the entry
/// instances. Records a violation if the replies contradict each other.
class ClaimSimulation
{
public:
    enum class CallOutcome { Done, LostReply, LateEffect, Unavailable };

    explicit ClaimSimulation(size_t owners);

    /// Requests of entry instances. An index beyond the existing claims wraps around.
    void begin(size_t owner, int key, uint64_t body = 1);
    void retryBegin(size_t owner, size_t claim);
    void finish(size_t owner, size_t claim, size_t answerBytes);
    void release(size_t owner, size_t claim);
    /// Completes the oldest call of an owner with the given outcome.
    void completeCall(size_t owner, CallOutcome outcome);
    /// Applies the oldest delayed write if its expected version is still current.
    void applyDelayedWrite();
    void advanceTime(size_t owner, Duration step);
    /// Replaces an owner by a new one; its writes in flight may still take effect.
    void restartOwner(size_t owner);
    bool hasCalls(size_t owner) const { return !this->owners[owner].calls.empty(); }
    /// Runs an owner without faults until it is idle.
    void runUntilIdle(size_t owner);
    /// Checks that the final verdict on each key agrees with the replies to the entry instances.
    void checkFinalVerdicts();

    /// First violation found; empty if none.
    std::string violation;
    size_t writes = 0;
    size_t largestObject = 0;
    ClaimShardSettings settings;

    struct Claim
    {
        std::string id;
        int key = 0;
        uint64_t body = 0;
        WallMs sentAt = 0;
        size_t messages = 0;
        bool granted = false;
        bool refused = false;
        bool abandoned = false;
        bool mustRelease = false;
        std::string answer;
        bool finishConfirmed = false;
        proto::ClaimReply lastReply;
    };
    std::vector<Claim> claims;
    std::map<std::string, std::pair<std::string, uint64_t>> objects;

private:
    struct Owner
    {
        std::unique_ptr<ClaimShard> shard;
        std::list<ClaimAction> calls;
    };

    enum class RequestKind { Begin, Finish, Release };

    void send(size_t owner, size_t claim);
    void performActions(size_t owner);
    void onReply(size_t claim, RequestKind kind, const proto::ClaimReply &reply);
    void onGranted(size_t claim);
    void onRefused(size_t claim, const proto::ClaimReply &reply);
    void releaseRefused();
    bool mayBeClaimed(int key, size_t before);
    void onFinished(size_t claim, const proto::ClaimReply &reply);
    std::unique_ptr<ClaimShard> makeOwner();
    Result<uint64_t> write(const ClaimAction &call);
    void recordViolation(const std::string &text, const Claim &claim);

    std::vector<Owner> owners;
    std::list<ClaimAction> delayedWrites;
    std::map<uint64_t, std::pair<size_t, RequestKind>> waiters;
    uint64_t lastVersion = 0;
    uint64_t lastNonce = 0;
    uint64_t lastWaiter = 0;
    size_t ownersCreated = 0;
    Instant now{std::chrono::hours(1)};
    WallMs wall = 1'000'000;
};

} // namespace tray::test
