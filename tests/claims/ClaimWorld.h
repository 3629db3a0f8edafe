// Simulated object API with several owners of one claim shard and an oracle of all claims.
#pragma once

#include "claims/ClaimShard.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tray::test {

/// One object API, several owners that do not know of each other, and the entry instances' view.
class ClaimWorld
{
public:
    enum class Fate { Done, LostAnswer, LateEffect, Unavailable };

    explicit ClaimWorld(size_t owners);

    /// Entry instances' calls; an index beyond the known claims wraps around.
    void begin(size_t owner, int key, uint64_t body = 1);
    void repeat(size_t owner, size_t claim);
    void finish(size_t owner, size_t claim, size_t answerBytes);
    void release(size_t owner, size_t claim);
    /// Ends the oldest call of an owner.
    void endCall(size_t owner, Fate fate);
    /// Lets the oldest delayed write take effect if its version still fits.
    void applyLate();
    void tick(size_t owner, Duration step);
    /// Replaces an owner; its outstanding writes may still take effect.
    void kill(size_t owner);
    bool hasCalls(size_t owner) const { return !this->owners[owner].calls.empty(); }
    /// Runs an owner without faults until nothing waits.
    void settle(size_t owner);
    /// Checks that each key's final verdict agrees with what the entry instances were told.
    void checkEnd();

    /// Violations found so far; empty if none.
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
        bool givenUp = false;
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

    enum class Waiting { Begin, Finish, Release };

    void send(size_t owner, size_t claim);
    void pump(size_t owner);
    void onReply(size_t claim, Waiting kind, const proto::ClaimReply &reply);
    void onGranted(size_t claim);
    void onRefused(size_t claim, const proto::ClaimReply &reply);
    void releaseRefused();
    bool mayBeHeld(int key, size_t before);
    void onFinished(size_t claim, const proto::ClaimReply &reply);
    std::unique_ptr<ClaimShard> makeOwner();
    Result<uint64_t> write(const ClaimAction &call);
    void fail(const std::string &text, const Claim &claim);

    std::vector<Owner> owners;
    std::list<ClaimAction> late;
    std::map<uint64_t, std::pair<size_t, Waiting>> waiters;
    uint64_t lastVersion = 0;
    uint64_t lastNonce = 0;
    uint64_t lastWaiter = 0;
    size_t ownersMade = 0;
    Instant now{std::chrono::hours(1)};
    WallMs wall = 1'000'000;
};

} // namespace tray::test
