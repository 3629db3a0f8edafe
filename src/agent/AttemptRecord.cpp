#include "agent/AttemptRecord.h"

#include <cassert>
#include <xxhash.h>

namespace tray {

struct AttemptRecord::Digest
{
    Digest() : state(XXH3_createState()) { XXH3_64bits_reset(this->state); }
    ~Digest() { XXH3_freeState(this->state); }
    Digest(const Digest &) = delete;
    Digest &operator=(const Digest &) = delete;

    XXH3_state_t *state;
};

AttemptRecord::AttemptRecord(const boost::asio::any_io_executor &executor, AttemptId id,
                             proto::Attempt attempt, uint64_t headVersion, uint64_t ticket,
                             Instant now)
    : id(std::move(id)), attempt(std::move(attempt)), headVersion(headVersion), ticket(ticket),
      deadline(now + milliseconds(this->attempt.remaining_ms())), changed(executor),
      streamDigest(std::make_unique<Digest>())
{
    this->changed.expires_at(Instant::max());
}

AttemptRecord::~AttemptRecord() = default;

void AttemptRecord::setStage(AttemptStage stage)
{
    assert(!this->isFinal());
    this->currentStage = stage;
    this->changed.cancel();
}

void AttemptRecord::refuse(Error reason, Instant now)
{
    assert(!this->responseHead);
    this->failure = std::move(reason);
    this->finalizedTime = now;
    this->setStage(AttemptStage::Refused);
}

void AttemptRecord::fail(Error reason, bool lost, Instant now)
{
    this->failure = std::move(reason);
    this->engineLost = lost;
    this->finalizedTime = now;
    this->setStage(AttemptStage::Failed);
}

void AttemptRecord::end(Instant now)
{
    this->finalizedTime = now;
    this->setStage(AttemptStage::Ended);
}

void AttemptRecord::setHead(proto::ResponseHead head)
{
    this->responseHead = std::move(head);
    this->changed.cancel();
}

void AttemptRecord::append(const std::string &data)
{
    XXH3_64bits_update(this->streamDigest->state, data.data(), data.size());
    this->tail += data;
    if (this->detachedAt && this->tail.size() > MaxDetachedBytes) {
        this->trim(this->totalBytes() - MaxDetachedBytes / 2);
        this->sent = std::max(this->sent, this->tailOffset);
    }
    this->changed.cancel();
}

uint64_t AttemptRecord::digest() const
{
    return XXH3_64bits_digest(this->streamDigest->state);
}

Result<std::string> AttemptRecord::read(uint64_t offset, size_t maxBytes) const
{
    if (offset < this->tailOffset || offset > this->totalBytes())
        return Error{ErrorKind::StreamBroken, "this part of the answer is no longer kept"};
    return this->tail.substr(offset - this->tailOffset, maxBytes);
}

void AttemptRecord::noteSent(uint64_t offset)
{
    this->sent = std::max(this->sent, std::min(offset, this->totalBytes()));
    if (this->sent - this->tailOffset > MaxResumeBytes)
        this->trim(this->sent - MaxResumeBytes / 2);
    this->changed.cancel();
}

void AttemptRecord::acknowledge(uint64_t offset)
{
    if (offset > this->sent)
        return;
    this->trim(offset);
    if (this->isFinal() && offset == this->totalBytes())
        this->acknowledged = true;
}

void AttemptRecord::trim(uint64_t offset)
{
    if (offset <= this->tailOffset)
        return;
    this->tail.erase(0, offset - this->tailOffset);
    this->tailOffset = offset;
}

uint64_t AttemptRecord::attach()
{
    this->attachedConnection = ++this->connectionCount;
    this->detachedAt.reset();
    this->changed.cancel();
    return this->attachedConnection;
}

void AttemptRecord::detach(uint64_t connection, Instant now)
{
    if (this->attachedConnection != connection)
        return;
    this->attachedConnection = 0;
    this->detachedAt = now;
    // Reading must not wait for a closed connection: the answer of an attempt that has to run to
    // its end is still read, and what exceeds the tail is dropped.
    this->changed.cancel();
}

} // namespace tray
