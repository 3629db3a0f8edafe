// Simulation and oracle of a claim shard.
#include "claims/ClaimWorld.h"

namespace tray::test {

ClaimWorld::ClaimWorld(size_t owners)
{
    this->settings.periodMs = 1000;
    this->settings.retentionMs = 8000;
    this->settings.answerBytes = 64;
    this->settings.answerMemoryBytes = 1000;
    this->settings.sealBytes = 600;
    this->settings.headBytes = 1200;
    this->settings.queueBytes = 600;
    this->settings.parallelReads = 2;
    this->owners.resize(owners);
    for (Owner &owner : this->owners)
        owner.shard = this->makeOwner();
}

std::unique_ptr<ClaimShard> ClaimWorld::makeOwner()
{
    return std::make_unique<ClaimShard>(3, "owner" + std::to_string(++this->ownersMade),
                                        this->settings, [this] { return ++this->lastNonce; });
}

void ClaimWorld::begin(size_t owner, int key, uint64_t body)
{
    Claim claim;
    claim.id = "claim" + std::to_string(this->claims.size());
    claim.key = key;
    claim.body = body;
    claim.sentAt = this->wall;
    this->claims.push_back(claim);
    this->send(owner, this->claims.size() - 1);
}

void ClaimWorld::repeat(size_t owner, size_t claim)
{
    claim %= std::max<size_t>(this->claims.size(), 1);
    if (claim < this->claims.size() && !this->claims[claim].givenUp &&
        !this->claims[claim].refused && this->claims[claim].answer.empty())
        this->send(owner, claim);
}

void ClaimWorld::send(size_t owner, size_t claim)
{
    Claim &sent = this->claims[claim];
    ++sent.messages;
    proto::ClaimBegin begin;
    begin.set_key("key" + std::to_string(sent.key));
    begin.set_body_digest(sent.body);
    begin.set_claim_id(sent.id);
    Owner &target = this->owners[owner % this->owners.size()];
    this->waiters[++this->lastWaiter] = {claim, Waiting::Begin};
    target.shard->begin(begin, this->lastWaiter, this->now, this->wall);
    this->pump(owner);
}

void ClaimWorld::finish(size_t owner, size_t claim, size_t answerBytes)
{
    claim %= std::max<size_t>(this->claims.size(), 1);
    if (claim >= this->claims.size() || !this->claims[claim].granted || this->claims[claim].givenUp)
        return;
    Claim &done = this->claims[claim];
    if (done.answer.empty())
        done.answer = done.id + std::string(answerBytes, 'a');
    proto::ClaimFinish finish;
    finish.mutable_record()->set_key("key" + std::to_string(done.key));
    finish.mutable_record()->set_claim_id(done.id);
    finish.mutable_record()->set_answer(done.answer);
    this->waiters[++this->lastWaiter] = {claim, Waiting::Finish};
    this->owners[owner % this->owners.size()].shard->finish(finish, this->lastWaiter, this->now,
                                                            this->wall);
    this->pump(owner);
}

void ClaimWorld::release(size_t owner, size_t claim)
{
    claim %= std::max<size_t>(this->claims.size(), 1);
    if (claim >= this->claims.size() || !this->claims[claim].answer.empty())
        return;
    this->claims[claim].givenUp = true;
    proto::ClaimRelease release;
    release.set_key("key" + std::to_string(this->claims[claim].key));
    release.set_claim_id(this->claims[claim].id);
    this->waiters[++this->lastWaiter] = {claim, Waiting::Release};
    this->owners[owner % this->owners.size()].shard->release(release, this->lastWaiter, this->now,
                                                             this->wall);
    this->pump(owner);
}

void ClaimWorld::pump(size_t owner)
{
    Owner &target = this->owners[owner % this->owners.size()];
    for (ClaimAction &action : target.shard->takeActions()) {
        if (action.kind == ClaimAction::Kind::Reply) {
            const auto [claim, kind] = this->waiters.at(action.id);
            this->waiters.erase(action.id);
            this->onReply(claim, kind, action.reply);
        } else if (action.kind == ClaimAction::Kind::Remove) {
            this->objects.erase(action.key);
        } else {
            target.calls.push_back(std::move(action));
        }
    }
}

void ClaimWorld::onReply(size_t claim, Waiting kind, const proto::ClaimReply &reply)
{
    Claim &asked = this->claims[claim];
    if (kind != Waiting::Begin) {
        const bool isFinish = kind == Waiting::Finish;
        asked.finishConfirmed |= isFinish && reply.verdict() == proto::CLAIM_VERDICT_FINISHED;
        asked.mustRelease &= isFinish || !reply.has_record();
        return;
    }
    asked.lastReply = reply;
    if (asked.givenUp || asked.refused)
        return;
    if (reply.verdict() == proto::CLAIM_VERDICT_GRANTED)
        this->onGranted(claim);
    else if (reply.verdict() == proto::CLAIM_VERDICT_FINISHED)
        this->onFinished(claim, reply);
    else if (reply.verdict() == proto::CLAIM_VERDICT_UNAVAILABLE && !asked.granted)
        this->onRefused(claim, reply);
}

// An entry instance dispatches nothing after a refusal. It releases the claim if an owner says that
// a write is on its way, or if it asked more than once.
void ClaimWorld::onRefused(size_t claim, const proto::ClaimReply &reply)
{
    Claim &asked = this->claims[claim];
    asked.refused = true;
    asked.mustRelease = reply.has_record() || asked.messages > 1;
}

void ClaimWorld::onGranted(size_t claim)
{
    Claim &asked = this->claims[claim];
    asked.granted = true;
    for (const Claim &other : this->claims) {
        if (other.key == asked.key && other.id != asked.id && other.granted && !other.givenUp &&
            this->wall < other.sentAt + this->settings.retentionMs)
            this->fail("granted beside " + other.id, asked);
    }
}

void ClaimWorld::onFinished(size_t claim, const proto::ClaimReply &reply)
{
    bool known = false;
    for (const Claim &other : this->claims) {
        if (other.key == this->claims[claim].key && other.id == reply.record().claim_id())
            known = !other.answer.empty() &&
                    (reply.record().answer_dropped() || reply.record().answer() == other.answer);
    }
    if (!known)
        this->fail("finished with a wrong answer", this->claims[claim]);
}

Result<uint64_t> ClaimWorld::write(const ClaimAction &call)
{
    ++this->writes;
    this->largestObject = std::max(this->largestObject, call.value.size());
    const auto object = this->objects.find(call.key);
    const uint64_t version = object == this->objects.end() ? 0 : object->second.second;
    if (version != call.expectedVersion)
        return Error{ErrorKind::VersionConflict, "", 0};
    this->objects[call.key] = {call.value, ++this->lastVersion};
    return this->lastVersion;
}

void ClaimWorld::endCall(size_t owner, Fate fate)
{
    Owner &target = this->owners[owner % this->owners.size()];
    if (target.calls.empty())
        return;
    const ClaimAction call = std::move(target.calls.front());
    target.calls.pop_front();
    const Error unavailable{ErrorKind::PlatformUnavailable, "", 0};
    const Error unknown{ErrorKind::OutcomeUnknown, "", 0};
    if (call.kind == ClaimAction::Kind::Read) {
        ClaimShard::ReadResult result = unavailable;
        const auto object = this->objects.find(call.key);
        if (fate == Fate::Done && object != this->objects.end())
            result = object->second;
        else if (fate == Fate::Done)
            result = Error{ErrorKind::NotFound, "", 0};
        target.shard->onRead(call.id, result, this->now, this->wall);
    } else if (fate == Fate::Unavailable) {
        target.shard->onWritten(call.id, unavailable, this->now, this->wall);
    } else if (fate == Fate::LateEffect) {
        this->late.push_back(call);
        target.shard->onWritten(call.id, unknown, this->now, this->wall);
    } else {
        const Result<uint64_t> result = this->write(call);
        target.shard->onWritten(call.id, fate == Fate::Done ? result : unknown, this->now,
                                this->wall);
    }
    this->pump(owner);
}

void ClaimWorld::applyLate()
{
    if (this->late.empty())
        return;
    this->write(this->late.front());
    this->late.pop_front();
}

void ClaimWorld::tick(size_t owner, Duration step)
{
    this->now += step;
    this->wall += static_cast<WallMs>(toMs(step));
    Owner &target = this->owners[owner % this->owners.size()];
    const auto timer = target.shard->nextTimer();
    if (timer && *timer <= this->now)
        target.shard->onTimer(this->now, this->wall);
    this->pump(owner);
}

void ClaimWorld::kill(size_t owner)
{
    Owner &target = this->owners[owner % this->owners.size()];
    for (ClaimAction &call : target.calls) {
        if (call.kind == ClaimAction::Kind::Write)
            this->late.push_back(std::move(call));
    }
    target.calls.clear();
    target.shard = this->makeOwner();
}

void ClaimWorld::settle(size_t owner)
{
    Owner &target = this->owners[owner % this->owners.size()];
    for (int i = 0; i < 200 && (!target.calls.empty() || !target.shard->isIdle()); ++i) {
        this->endCall(owner, Fate::Done);
        this->tick(owner, milliseconds(20));
    }
    if (!target.shard->isIdle())
        this->violation = "an owner does not come to rest";
}

void ClaimWorld::releaseRefused()
{
    for (size_t claim = 0; claim < this->claims.size(); ++claim) {
        if (this->claims[claim].mustRelease)
            this->release(0, claim);
    }
    this->settle(0);
}

// Refusals and releases leave a key free.
bool ClaimWorld::mayBeHeld(int key, size_t before)
{
    for (size_t i = 0; i < before; ++i) {
        const Claim &claim = this->claims[i];
        if (claim.key == key && !claim.refused)
            return true;
    }
    return false;
}

void ClaimWorld::checkEnd()
{
    while (!this->late.empty())
        this->applyLate();
    for (size_t owner = 0; owner < this->owners.size(); ++owner)
        this->settle(owner);
    this->kill(0);
    this->releaseRefused();
    for (int key = 0; key < 4; ++key) {
        const size_t probe = this->claims.size();
        this->begin(0, key);
        this->settle(0);
        const proto::ClaimVerdict verdict = this->claims[probe].lastReply.verdict();
        for (size_t i = 0; i < probe; ++i) {
            const Claim &claim = this->claims[i];
            const auto wanted = claim.body == this->claims[probe].body
                                    ? proto::CLAIM_VERDICT_FINISHED
                                    : proto::CLAIM_VERDICT_BODY_DIFFERS;
            const bool isKept = this->wall < claim.sentAt + this->settings.retentionMs;
            if (claim.key == key && claim.finishConfirmed && isKept && verdict != wanted)
                this->fail("a confirmed answer was forgotten", claim);
        }
        if (verdict == proto::CLAIM_VERDICT_UNAVAILABLE ||
            (verdict != proto::CLAIM_VERDICT_GRANTED && !this->mayBeHeld(key, probe)))
            this->fail("a key of refused claims only cannot be claimed", this->claims[probe]);
    }
}

void ClaimWorld::fail(const std::string &text, const Claim &claim)
{
    if (this->violation.empty())
        this->violation = text + ": " + claim.id + " of key " + std::to_string(claim.key);
}

} // namespace tray::test
