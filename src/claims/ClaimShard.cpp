// Implements the queue, the takeover and the group commit of one claim shard.
#include "claims/ClaimShard.h"

#include <algorithm>

namespace tray {

namespace {

// Limits the work of one commit. Periods expire far more slowly.
constexpr int MaxDroppedPeriodsPerCommit = 4;

proto::ClaimReply makeReply(proto::ClaimVerdict verdict)
{
    proto::ClaimReply reply;
    reply.set_verdict(verdict);
    return reply;
}

bool isWithoutEffect(ErrorKind kind)
{
    return kind == ErrorKind::PlatformUnavailable || kind == ErrorKind::Overloaded ||
           kind == ErrorKind::BadRequest || kind == ErrorKind::BodyTooLarge;
}

} // namespace

ClaimShard::ClaimShard(uint32_t shard, std::string owner, ClaimShardSettings settings,
                       NonceSource nonces)
    : headKey("claims/" + std::to_string(shard)), owner(std::move(owner)), settings(settings),
      nonces(std::move(nonces)), table(settings.retentionMs),
      answers(settings.maxAnswerMemoryBytes), periods(settings.retentionMs)
{}

void ClaimShard::begin(const proto::ClaimBegin &begin, uint64_t waiter, Instant now, WallMs wall)
{
    if (this->answerFromTable(begin, waiter, now, wall) || this->joinPending(begin, waiter))
        return;
    if (now < this->outageUntil || this->queue.bytes() > this->settings.maxQueueBytes) {
        this->replyTo(waiter, makeReply(proto::CLAIM_VERDICT_UNAVAILABLE));
        return;
    }
    proto::ClaimRecord record;
    record.set_key(begin.key());
    record.set_body_digest(begin.body_digest());
    record.set_claim_id(begin.claim_id());
    this->queue.add(Kind::Begin, std::move(record), waiter, now);
    this->advance(now, wall);
}

// Replies from the table if possible. Another owner may have changed any verdict except Finished,
// so all other verdicts need a fresh table.
bool ClaimShard::answerFromTable(const proto::ClaimBegin &begin, uint64_t waiter, Instant now,
                                 WallMs wall)
{
    if (!this->loaded)
        return false;
    ClaimDecision decision = decideBegin(begin, this->table.find(begin.key(), wall), wall);
    if (decision.write)
        return false;
    const bool isFresh = now < this->headConfirmedAt + this->settings.maxConfirmationAge;
    if (!isFresh && decision.reply.verdict() != proto::CLAIM_VERDICT_FINISHED) {
        if (this->phase == Phase::Ready && this->writing == Writing::Nothing)
            this->phase = Phase::HeadUnknown;
        return false;
    }
    this->replyTo(waiter, std::move(decision.reply));
    return true;
}

// Replies to a begin, or adds its waiter, if a begin of the same key is waiting for its commit.
bool ClaimShard::joinPending(const proto::ClaimBegin &begin, uint64_t waiter)
{
    const OperationPtr other = this->queue.find(Kind::Begin, begin.key());
    if (other == nullptr)
        return false;
    if (other->record.claim_id() == begin.claim_id())
        other->waiters.push_back(waiter);
    else if (other->record.body_digest() == begin.body_digest())
        this->replyTo(waiter, makeReply(proto::CLAIM_VERDICT_IN_PROGRESS));
    else
        this->replyTo(waiter, makeReply(proto::CLAIM_VERDICT_BODY_DIFFERS));
    return true;
}

void ClaimShard::finish(const proto::ClaimFinish &finish, uint64_t waiter, Instant now, WallMs wall)
{
    proto::ClaimRecord record = finish.record();
    const OperationPtr same = this->queue.find(Kind::Finish, record.key());
    if (same != nullptr && same->record.claim_id() == record.claim_id()) {
        same->waiters.push_back(waiter);
        return;
    }
    if (record.answer().size() > this->settings.maxInlineAnswerBytes ||
        this->queue.bytes() > this->settings.maxQueueBytes) {
        this->answers.put(record.claim_id(), std::move(*record.mutable_answer()));
        record.clear_answer();
        record.set_answer_dropped(true);
    }
    this->queue.add(Kind::Finish, std::move(record), waiter, now);
    this->advance(now, wall);
}

void ClaimShard::release(const proto::ClaimRelease &release, uint64_t waiter, Instant now,
                         WallMs wall)
{
    const OperationPtr same = this->queue.find(Kind::Release, release.key());
    if (same != nullptr && same->record.claim_id() == release.claim_id()) {
        same->waiters.push_back(waiter);
        return;
    }
    this->dropQueuedBegin(release);
    proto::ClaimRecord record;
    record.set_key(release.key());
    record.set_claim_id(release.claim_id());
    this->queue.add(Kind::Release, std::move(record), waiter, now);
    this->advance(now, wall);
}

void ClaimShard::onRead(uint64_t call, const ReadResult &result, Instant now, WallMs wall)
{
    if (this->sealedAnswers.contains(call)) {
        SealedAnswers::Answer answer = this->sealedAnswers.complete(call, result);
        this->sendReply(answer.waiter, std::move(answer.reply));
        return;
    }
    const auto period = this->periodCalls.find(call);
    if (this->phase == Phase::ReadingHead && call == this->headCall) {
        this->onHeadRead(result, now, wall);
    } else if (this->phase == Phase::ReadingPeriods && period != this->periodCalls.end()) {
        const uint64_t number = period->second;
        this->periodCalls.erase(period);
        this->onPeriodRead(number, result, now);
    }
    this->advance(now, wall);
}

void ClaimShard::onWritten(uint64_t call, const Result<uint64_t> &result, Instant now, WallMs wall)
{
    if (call != this->writeCall || this->writing == Writing::Nothing)
        return;
    const Writing ended = std::exchange(this->writing, Writing::Nothing);
    if (ended == Writing::Period)
        this->onPeriodWritten(result, now);
    else
        this->onHeadWritten(result, now, wall);
    this->advance(now, wall);
}

bool ClaimShard::isIdle() const
{
    return this->queue.isIdle() && this->sealedAnswers.isEmpty() &&
           this->writing == Writing::Nothing && this->phase != Phase::ReadingHead &&
           this->phase != Phase::ReadingPeriods;
}

void ClaimShard::dropQueuedBegin(const proto::ClaimRelease &release)
{
    const OperationPtr begin = this->queue.find(Kind::Begin, release.key());
    if (begin == nullptr || begin->inWrite || begin->record.claim_id() != release.claim_id())
        return;
    // The release that follows also prevents or undoes a write that may still take effect.
    this->replyAll(*begin, makeReply(proto::CLAIM_VERDICT_UNAVAILABLE));
    this->queue.remove(begin);
}

void ClaimShard::requeue(ClaimHeadWrite write, bool mayBeWritten)
{
    const auto &operations = write.repliesAfterCommit();
    for (auto entry = operations.rbegin(); entry != operations.rend(); ++entry) {
        entry->first->mayBeWritten |= mayBeWritten;
        this->queue.putBack(entry->first);
    }
}

// Refuses all waiting claims. Finishes and releases stay queued until they are committed. Only an
// entry instance may release a claim: another owner may have granted the same claim meanwhile, so
// releasing it here could run the request twice.
void ClaimShard::refuseWaiters()
{
    std::deque<OperationPtr> waiting = this->queue.takeAll();
    for (auto entry = waiting.rbegin(); entry != waiting.rend(); ++entry) {
        const OperationPtr &operation = *entry;
        proto::ClaimReply refusal = makeReply(proto::CLAIM_VERDICT_UNAVAILABLE);
        if (operation->kind == Kind::Begin && operation->mayBeWritten)
            refusal.mutable_record()->set_state(proto::CLAIM_STATE_GRANTED);
        this->replyAll(*operation, refusal);
        if (operation->kind == Kind::Begin)
            this->queue.forget(operation);
        else
            this->queue.putBack(operation);
    }
}

void ClaimShard::replyAll(ClaimOperation &operation, const proto::ClaimReply &reply)
{
    for (const uint64_t waiter : operation.waiters)
        this->replyTo(waiter, reply);
    operation.waiters.clear();
}

void ClaimShard::replyTo(uint64_t waiter, proto::ClaimReply reply)
{
    const proto::ClaimRecord &record = reply.record();
    const bool isFinished = reply.verdict() == proto::CLAIM_VERDICT_FINISHED;
    if (isFinished && !record.answer_dropped()) {
        if (const uint64_t period = this->table.periodOf(record.key(), record.claim_id())) {
            const uint64_t read = this->startCall(ClaimAction::Kind::Read, this->periodKey(period));
            this->sealedAnswers.add(read, {waiter, std::move(reply)});
            return;
        }
    }
    this->sendReply(waiter, std::move(reply));
}

void ClaimShard::sendReply(uint64_t waiter, proto::ClaimReply reply)
{
    if (reply.has_record() && reply.record().answer_dropped()) {
        if (auto answer = this->answers.find(reply.record().claim_id())) {
            reply.mutable_record()->set_answer(std::move(*answer));
            reply.mutable_record()->set_answer_dropped(false);
        }
    }
    ClaimAction action;
    action.kind = ClaimAction::Kind::Reply;
    action.id = waiter;
    action.reply = std::move(reply);
    this->actions.push_back(std::move(action));
}

void ClaimShard::readHead()
{
    this->phase = Phase::ReadingHead;
    this->headCall = this->startCall(ClaimAction::Kind::Read, this->headKey);
}

void ClaimShard::onHeadRead(const ReadResult &result, Instant now, WallMs wall)
{
    proto::ClaimShardHead head;
    uint64_t headVersion = 0;
    // A head that existed before cannot vanish; granting claims without it could run requests
    // again.
    bool isValid = !isOk(result) && error(result).kind == ErrorKind::NotFound && this->version == 0;
    if (isOk(result)) {
        headVersion = value(result).second;
        isValid = head.ParseFromString(value(result).first);
    }
    const bool wasUnresolved = std::exchange(this->headWriteUnresolved, false);
    if (isValid && wasUnresolved && head.writer_nonce() == this->headWrite.head().writer_nonce()) {
        this->phase = Phase::Ready;
        this->onCommitted(std::move(this->headWrite), headVersion, now, wall);
        return;
    }
    if (wasUnresolved)
        this->requeue(std::move(this->headWrite), true);
    if (isValid)
        this->adoptHead(std::move(head), headVersion, now);
    else
        this->enterOutage(now);
}

void ClaimShard::adoptHead(proto::ClaimShardHead head, uint64_t newVersion, Instant now)
{
    if (this->loaded && newVersion == this->version) {
        this->headConfirmedAt = now;
        this->phase = Phase::Ready;
        return;
    }
    this->newHead = std::move(head);
    this->newVersion = newVersion;
    std::deque<uint64_t> missing;
    for (const uint64_t period : this->newHead.sealed()) {
        if (!this->periods.contains(period))
            missing.push_back(period);
    }
    this->loader.start(std::move(missing));
    this->periodCalls.clear();
    this->phase = Phase::ReadingPeriods;
    this->readPeriods(now);
}

void ClaimShard::readPeriods(Instant now)
{
    while (const auto period = this->loader.nextToRead(this->settings.maxParallelReads))
        this->periodCalls[this->startCall(ClaimAction::Kind::Read, this->periodKey(*period))] =
            *period;
    if (this->loader.isDone())
        this->completeTakeover(now);
}

void ClaimShard::onPeriodRead(uint64_t period, const ReadResult &result, Instant now)
{
    PeriodLoader::Loaded loaded;
    if (!isOk(result) || !loaded.content.ParseFromString(value(result).first)) {
        // NotFound means that a newer head has dropped the period, so the head is read again.
        this->enterOutage(now);
        return;
    }
    loaded.period = period;
    loaded.objectVersion = value(result).second;
    this->loader.addLoaded(std::move(loaded));
    while (const auto next = this->loader.takeNext()) {
        for (const proto::ClaimRecord &record : next->content.records()) {
            this->table.apply(record);
            this->table.moveToPeriod(record, next->period);
        }
        this->periods.add(next->period, next->content.records(), next->objectVersion);
    }
    this->readPeriods(now);
}

// Records of the previous head are still in the table. They are also in the new head or in one of
// its sealed periods, which were applied after them.
void ClaimShard::completeTakeover(Instant now)
{
    this->headConfirmedAt = now;
    for (const proto::ClaimRecord &record : this->newHead.records())
        this->table.apply(record);
    this->committed = std::move(this->newHead);
    this->version = this->newVersion;
    this->sealedVersion.reset();
    this->periods.retain(this->committed.sealed());
    this->loaded = true;
    this->phase = Phase::Ready;
}

void ClaimShard::advance(Instant now, WallMs wall)
{
    this->timer.reset();
    const bool reading = this->phase == Phase::ReadingHead || this->phase == Phase::ReadingPeriods;
    if (this->writing != Writing::Nothing || reading || this->queue.isEmpty())
        return;
    if (now < this->outageUntil) {
        this->timer = this->outageUntil;
    } else if (this->phase == Phase::HeadUnknown) {
        this->readHead();
    } else if (this->isWriteDue(now)) {
        if (this->isSealDue(wall))
            this->writePeriod(now);
        else
            this->writeHead(now, wall);
    }
}

bool ClaimShard::isWriteDue(Instant now)
{
    const Instant collected = this->queue.front()->queuedAt + this->settings.maxCollectDelay;
    // The commit that empties a sealed head is due immediately; the next one waits twice as long.
    const Instant due = this->sealedVersion ? now : std::max(collected, this->nextWriteAt);
    if (now < due)
        this->timer = due;
    return now >= due;
}

bool ClaimShard::isSealDue(WallMs wall) const
{
    if (this->committed.records_size() == 0 || this->sealedVersion)
        return false;
    return wall / this->settings.periodMs != this->committed.period() ||
           this->committed.ByteSizeLong() > this->settings.sealThresholdBytes;
}

// The key of a sealed period contains the version of the head whose records it holds, so every
// owner that seals this version writes the same content.
void ClaimShard::writePeriod(Instant now)
{
    proto::ClaimPeriod period;
    *period.mutable_records() = this->committed.records();
    this->writing = Writing::Period;
    this->writeCall = this->startCall(ClaimAction::Kind::Write, this->periodKey(this->version));
    this->actions.back().value = period.SerializeAsString();
    this->scheduleNextWrite(now);
}

void ClaimShard::onPeriodWritten(const Result<uint64_t> &result, Instant now)
{
    const bool exists = !isOk(result) && error(result).kind == ErrorKind::VersionConflict;
    const bool isUnknown = !isOk(result) && error(result).kind == ErrorKind::OutcomeUnknown;
    if (isUnknown && !std::exchange(this->sealOutcomeUnknown, true))
        return; // Writing the same content again is safe, so the next call of advance() retries it.
    this->sealOutcomeUnknown = false;
    if (!isOk(result) && !exists) {
        this->enterOutage(now);
        return;
    }
    this->sealedVersion = this->version;
    this->periods.add(this->version, this->committed.records(), exists ? 0 : value(result));
}

void ClaimShard::writeHead(Instant now, WallMs wall)
{
    ClaimHeadWrite write = this->makeHead(wall);
    this->fillHead(write, wall);
    if (write.repliesAfterCommit().empty())
        return;
    this->headWrite = std::move(write);
    this->writing = Writing::Head;
    this->writeCall = this->startCall(ClaimAction::Kind::Write, this->headKey);
    this->actions.back().value = this->headWrite.head().SerializeAsString();
    this->actions.back().expectedVersion = this->version;
    this->scheduleNextWrite(now);
}

ClaimHeadWrite ClaimShard::makeHead(WallMs wall)
{
    ClaimHeadWrite write(this->committed, this->sealedVersion);
    write.dropSealedPeriods(
        this->periods.countExpired(this->committed.sealed(), wall, MaxDroppedPeriodsPerCommit));
    proto::ClaimShardHead &head = write.head();
    if (head.records_size() == 0)
        head.set_period(wall / this->settings.periodMs);
    if (head.owner() != this->owner) {
        head.set_owner(this->owner);
        head.set_epoch(head.epoch() + 1);
    }
    head.set_writer_nonce(this->nonces());
    return write;
}

void ClaimShard::fillHead(ClaimHeadWrite &write, WallMs wall)
{
    while (!this->queue.isEmpty() &&
           write.add(this->queue.front(), this->table, wall, this->settings.maxHeadBytes))
        this->queue.takeFront();
    for (auto &[operation, reply] : write.takeImmediateReplies()) {
        this->replyAll(*operation, reply);
        this->queue.forget(operation);
    }
}

void ClaimShard::onHeadWritten(const Result<uint64_t> &result, Instant now, WallMs wall)
{
    if (isOk(result)) {
        this->onCommitted(std::move(this->headWrite), value(result), now, wall);
        return;
    }
    const ErrorKind kind = error(result).kind;
    if (kind == ErrorKind::VersionConflict) {
        // Another owner has written the head, or an earlier write of this owner took effect late.
        this->requeue(std::move(this->headWrite), false);
        this->phase = Phase::HeadUnknown;
    } else if (isWithoutEffect(kind)) {
        this->requeue(std::move(this->headWrite), false);
        this->enterOutage(now);
    } else {
        this->headWriteUnresolved = true;
        this->readHead();
    }
}

void ClaimShard::onCommitted(ClaimHeadWrite write, uint64_t newVersion, Instant now, WallMs wall)
{
    this->headConfirmedAt = now;
    if (this->sealedVersion) {
        for (const proto::ClaimRecord &record : this->committed.records())
            this->table.moveToPeriod(record, *this->sealedVersion);
        this->sealedVersion.reset();
    }
    this->committed = std::move(write.head());
    this->version = newVersion;
    this->loaded = true;
    for (const proto::ClaimRecord &record : write.records())
        this->table.apply(record);
    for (const auto &[operation, reply] : write.repliesAfterCommit()) {
        this->replyAll(*operation, reply);
        this->queue.forget(operation);
    }
    for (const uint64_t droppedVersion : write.droppedVersions()) {
        this->startCall(ClaimAction::Kind::Remove, this->periodKey(droppedVersion));
        this->actions.back().expectedVersion = this->periods.remove(droppedVersion);
        this->nextWriteAt += this->settings.commitInterval;
    }
    this->table.purge(wall);
}

void ClaimShard::enterOutage(Instant now)
{
    if (this->phase != Phase::Ready)
        this->phase = Phase::HeadUnknown;
    this->outageUntil = now + this->settings.outageBackoff;
    this->refuseWaiters();
}

void ClaimShard::scheduleNextWrite(Instant now)
{
    this->nextWriteAt = std::max(now, this->nextWriteAt) + this->settings.commitInterval;
}

uint64_t ClaimShard::startCall(ClaimAction::Kind kind, std::string key)
{
    ClaimAction action;
    action.kind = kind;
    action.id = ++this->lastCall;
    action.key = std::move(key);
    this->actions.push_back(std::move(action));
    return this->lastCall;
}

} // namespace tray
