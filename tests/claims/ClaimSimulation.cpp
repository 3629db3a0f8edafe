// Simulates the object API and the entry instances of a claim shard and checks the verdicts.
#include "claims/ClaimSimulation.h"

namespace tray::test {

ClaimSimulation::ClaimSimulation(size_t owners)
{
    this->settings.periodMs = 1000;
    this->settings.retentionMs = 8000;
    this->settings.maxInlineAnswerBytes = 64;
    this->settings.maxAnswerMemoryBytes = 1000;
    this->settings.sealThresholdBytes = 600;
    this->settings.maxHeadBytes = 1200;
    this->settings.maxQueueBytes = 600;
    this->settings.maxParallelReads = 2;
    this->owners.resize(owners);
    for (Owner &owner : this->owners)
        owner.shard = this->makeOwner();
}

std::unique_ptr<ClaimShard> ClaimSimulation::makeOwner()
{
    return std::make_unique<ClaimShard>(3, "owner" + std::to_string(++this->ownersCreated),
                                        this->settings, [this] { return ++this->lastNonce; });
}

void ClaimSimulation::begin(size_t owner, int key, uint64_t body)
{
    Claim claim;
    claim.id = "claim" + std::to_string(this->claims.size());
    claim.key = key;
    claim.body = body;
    claim.sentAt = this->wall;
    this->claims.push_back(claim);
    this->send(owner, this->claims.size() - 1);
}

void ClaimSimulation::retryBegin(size_t owner, size_t claim)
{
    claim %= std::max<size_t>(this->claims.size(), 1);
    if (claim < this->claims.size() && !this->claims[claim].abandoned &&
        !this->claims[claim].refused && this->claims[claim].answer.empty())
        this->send(owner, claim);
}

void ClaimSimulation::send(size_t owner, size_t claim)
{
    Claim &sent = this->claims[claim];
    ++sent.messages;
    proto::ClaimBegin begin;
    begin.set_key("key" + std::to_string(sent.key));
    begin.set_body_digest(sent.body);
    begin.set_claim_id(sent.id);
    Owner &target = this->owners[owner % this->owners.size()];
    this->waiters[++this->lastWaiter] = {claim, RequestKind::Begin};
    target.shard->begin(begin, this->lastWaiter, this->now, this->wall);
    this->performActions(owner);
}

void ClaimSimulation::finish(size_t owner, size_t claim, size_t answerBytes)
{
    claim %= std::max<size_t>(this->claims.size(), 1);
    if (claim >= this->claims.size() || !this->claims[claim].granted ||
        this->claims[claim].abandoned)
        return;
    Claim &done = this->claims[claim];
    if (done.answer.empty())
        done.answer = done.id + std::string(answerBytes, 'a');
    proto::ClaimFinish finish;
    finish.mutable_record()->set_key("key" + std::to_string(done.key));
    finish.mutable_record()->set_claim_id(done.id);
    finish.mutable_record()->set_answer(done.answer);
    this->waiters[++this->lastWaiter] = {claim, RequestKind::Finish};
    this->owners[owner % this->owners.size()].shard->finish(finish, this->lastWaiter, this->now,
                                                            this->wall);
    this->performActions(owner);
}

void ClaimSimulation::release(size_t owner, size_t claim)
{
    claim %= std::max<size_t>(this->claims.size(), 1);
    if (claim >= this->claims.size() || !this->claims[claim].answer.empty())
        return;
    this->claims[claim].abandoned = true;
    proto::ClaimRelease release;
    release.set_key("key" + std::to_string(this->claims[claim].key));
    release.set_claim_id(this->claims[claim].id);
    this->waiters[++this->lastWaiter] = {claim, RequestKind::Release};
    this->owners[owner % this->owners.size()].shard->release(release, this->lastWaiter, this->now,
                                                             this->wall);
    this->performActions(owner);
}

void ClaimSimulation::performActions(size_t owner)
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

void ClaimSimulation::onReply(size_t claim, RequestKind kind, const proto::ClaimReply &reply)
{
    Claim &claimed = this->claims[claim];
    if (kind != RequestKind::Begin) {
        const bool isFinish = kind == RequestKind::Finish;
        claimed.finishConfirmed |= isFinish && reply.verdict() == proto::CLAIM_VERDICT_FINISHED;
        claimed.mustRelease &= isFinish || !reply.has_record();
        return;
    }
    claimed.lastReply = reply;
    if (claimed.abandoned || claimed.refused)
        return;
    if (reply.verdict() == proto::CLAIM_VERDICT_GRANTED)
        this->onGranted(claim);
    else if (reply.verdict() == proto::CLAIM_VERDICT_FINISHED)
        this->onFinished(claim, reply);
    else if (reply.verdict() == proto::CLAIM_VERDICT_UNAVAILABLE && !claimed.granted)
        this->onRefused(claim, reply);
}

// An entry instance dispatches nothing after a refusal. It releases the claim if an owner reports
// that a write is in flight, or if it sent more than one begin.
void ClaimSimulation::onRefused(size_t claim, const proto::ClaimReply &reply)
{
    Claim &claimed = this->claims[claim];
    claimed.refused = true;
    claimed.mustRelease = reply.has_record() || claimed.messages > 1;
}

void ClaimSimulation::onGranted(size_t claim)
{
    Claim &claimed = this->claims[claim];
    claimed.granted = true;
    for (const Claim &other : this->claims) {
        if (other.key == claimed.key && other.id != claimed.id && other.granted &&
            !other.abandoned && this->wall < other.sentAt + this->settings.retentionMs)
            this->recordViolation("granted at the same time as " + other.id, claimed);
    }
}

void ClaimSimulation::onFinished(size_t claim, const proto::ClaimReply &reply)
{
    bool known = false;
    for (const Claim &other : this->claims) {
        if (other.key == this->claims[claim].key && other.id == reply.record().claim_id())
            known = !other.answer.empty() &&
                    (reply.record().answer_dropped() || reply.record().answer() == other.answer);
    }
    if (!known)
        this->recordViolation("finished with a wrong answer", this->claims[claim]);
}

Result<uint64_t> ClaimSimulation::write(const ClaimAction &call)
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

void ClaimSimulation::completeCall(size_t owner, CallOutcome outcome)
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
        if (outcome == CallOutcome::Done && object != this->objects.end())
            result = object->second;
        else if (outcome == CallOutcome::Done)
            result = Error{ErrorKind::NotFound, "", 0};
        target.shard->onRead(call.id, result, this->now, this->wall);
    } else if (outcome == CallOutcome::Unavailable) {
        target.shard->onWritten(call.id, unavailable, this->now, this->wall);
    } else if (outcome == CallOutcome::LateEffect) {
        this->delayedWrites.push_back(call);
        target.shard->onWritten(call.id, unknown, this->now, this->wall);
    } else {
        const Result<uint64_t> result = this->write(call);
        target.shard->onWritten(call.id, outcome == CallOutcome::Done ? result : unknown, this->now,
                                this->wall);
    }
    this->performActions(owner);
}

void ClaimSimulation::applyDelayedWrite()
{
    if (this->delayedWrites.empty())
        return;
    this->write(this->delayedWrites.front());
    this->delayedWrites.pop_front();
}

void ClaimSimulation::advanceTime(size_t owner, Duration step)
{
    this->now += step;
    this->wall += static_cast<WallMs>(toMs(step));
    Owner &target = this->owners[owner % this->owners.size()];
    const auto timer = target.shard->nextTimer();
    if (timer && *timer <= this->now)
        target.shard->onTimer(this->now, this->wall);
    this->performActions(owner);
}

void ClaimSimulation::restartOwner(size_t owner)
{
    Owner &target = this->owners[owner % this->owners.size()];
    for (ClaimAction &call : target.calls) {
        if (call.kind == ClaimAction::Kind::Write)
            this->delayedWrites.push_back(std::move(call));
    }
    target.calls.clear();
    target.shard = this->makeOwner();
}

void ClaimSimulation::runUntilIdle(size_t owner)
{
    Owner &target = this->owners[owner % this->owners.size()];
    for (int i = 0; i < 200 && (!target.calls.empty() || !target.shard->isIdle()); ++i) {
        this->completeCall(owner, CallOutcome::Done);
        this->advanceTime(owner, milliseconds(20));
    }
    if (!target.shard->isIdle())
        this->violation = "an owner does not become idle";
}

void ClaimSimulation::releaseRefused()
{
    for (size_t claim = 0; claim < this->claims.size(); ++claim) {
        if (this->claims[claim].mustRelease)
            this->release(0, claim);
    }
    this->runUntilIdle(0);
}

// Returns whether the key may be claimed already. Refused and released claims leave a key free.
bool ClaimSimulation::mayBeClaimed(int key, size_t before)
{
    for (size_t i = 0; i < before; ++i) {
        const Claim &claim = this->claims[i];
        if (claim.key == key && !claim.refused)
            return true;
    }
    return false;
}

void ClaimSimulation::checkFinalVerdicts()
{
    while (!this->delayedWrites.empty())
        this->applyDelayedWrite();
    for (size_t owner = 0; owner < this->owners.size(); ++owner)
        this->runUntilIdle(owner);
    this->restartOwner(0);
    this->releaseRefused();
    for (int key = 0; key < 4; ++key) {
        const size_t probe = this->claims.size();
        this->begin(0, key);
        this->runUntilIdle(0);
        const proto::ClaimVerdict verdict = this->claims[probe].lastReply.verdict();
        for (size_t i = 0; i < probe; ++i) {
            const Claim &claim = this->claims[i];
            const auto wanted = claim.body == this->claims[probe].body
                                    ? proto::CLAIM_VERDICT_FINISHED
                                    : proto::CLAIM_VERDICT_BODY_DIFFERS;
            const bool isKept = this->wall < claim.sentAt + this->settings.retentionMs;
            if (claim.key == key && claim.finishConfirmed && isKept && verdict != wanted)
                this->recordViolation("a confirmed answer was lost", claim);
        }
        if (verdict == proto::CLAIM_VERDICT_UNAVAILABLE ||
            (verdict != proto::CLAIM_VERDICT_GRANTED && !this->mayBeClaimed(key, probe)))
            this->recordViolation("a key whose claims were all refused cannot be claimed",
                                  this->claims[probe]);
    }
}

void ClaimSimulation::recordViolation(const std::string &text, const Claim &claim)
{
    if (this->violation.empty())
        this->violation = text + ": " + claim.id + " of key " + std::to_string(claim.key);
}

} // namespace tray::test
