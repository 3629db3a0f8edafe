// State of one attempt.
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
    this->finalAt = now;
    this->setStage(AttemptStage::Refused);
}

void AttemptRecord::fail(Error reason, bool lost, Instant now)
{
    this->failure = std::move(reason);
    this->engineLost = lost;
    this->finalAt = now;
    this->setStage(AttemptStage::Failed);
}

void AttemptRecord::end(Instant now)
{
    this->finalAt = now;
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
    if (this->detachedAt && this->tail.size() > DetachedLimit) {
        this->trim(this->totalBytes() - DetachedLimit / 2);
        this->sent = std::max(this->sent, this->base);
    }
    this->changed.cancel();
}

uint64_t AttemptRecord::digest() const
{
    return XXH3_64bits_digest(this->streamDigest->state);
}

Result<std::string> AttemptRecord::read(uint64_t offset, size_t most) const
{
    if (offset < this->base || offset > this->totalBytes())
        return Error{ErrorKind::StreamBroken, "this part of the answer is no longer kept"};
    return this->tail.substr(offset - this->base, most);
}

void AttemptRecord::noteSent(uint64_t offset)
{
    this->sent = std::max(this->sent, std::min(offset, this->totalBytes()));
    if (this->sent - this->base > TailLimit)
        this->trim(this->sent - TailLimit / 2);
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
    if (offset <= this->base)
        return;
    this->tail.erase(0, offset - this->base);
    this->base = offset;
}

uint64_t AttemptRecord::attach()
{
    this->carrier = ++this->connections;
    this->detachedAt.reset();
    this->changed.cancel();
    return this->carrier;
}

void AttemptRecord::detach(uint64_t connection, Instant now)
{
    if (this->carrier != connection)
        return;
    this->carrier = 0;
    this->detachedAt = now;
    // Data must not wait for a connection that is gone: an attempt that has to run to its end is
    // read on, and what exceeds the tail is dropped.
    this->changed.cancel();
}

} // namespace tray
