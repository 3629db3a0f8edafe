#include "agent/DataServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray {

namespace asio = boost::asio;

namespace {

// Time for which a pooled channel stays open between attempts.
constexpr auto ChannelIdleTimeout = std::chrono::minutes(10);
constexpr size_t MaxDataBytes = 64u << 10;

uint32_t retryAfterOf(const Error &reason)
{
    const int given = reason.retryAfterMs;
    return static_cast<uint32_t>(given > 0 ? given : errorAnswer(reason.kind).retryAfterMs);
}

} // namespace

DataServer::DataServer(asio::io_context &context, AttemptRunner &runner, Duration heartbeat,
                       Metrics &metrics)
    : runner(runner), heartbeat(heartbeat), metrics(metrics),
      server(context, [this](Channel channel) { return this->serve(std::move(channel)); })
{}

Result<Address> DataServer::listen(const Address &address)
{
    return this->server.listen(address);
}

asio::awaitable<void> DataServer::serve(Channel channel)
{
    AttachedAttempt attached;
    while (true) {
        auto frame = co_await channel->receive(ChannelIdleTimeout);
        if (!isOk(frame))
            break;
        this->runner.noteHeadVersion(value(frame).head_version());
        if (!co_await this->handle(channel, value(std::move(frame)), attached))
            break;
    }
    if (attached.record)
        attached.record->detach(attached.connection, clockNow());
    channel->close();
}

asio::awaitable<bool> DataServer::handle(Channel channel, proto::Frame frame,
                                         AttachedAttempt &attached)
{
    const AttemptId id{frame.request_id(), frame.attempt_number()};
    const bool opens = frame.has_attempt() || frame.has_resume();
    if (!opens) {
        // Frames about an attempt that this channel does not carry are late or out of sequence, and
        // are ignored.
        if (!attached.record || attached.record->id != id) {
            this->metrics.counter("agent_mismatched_frames_total").add();
            co_return true;
        }
        if (frame.has_cancel())
            this->runner.cancel(attached.record);
        if (frame.has_acknowledge())
            attached.record->acknowledge(frame.acknowledge().offset());
        co_return true;
    }
    // A channel carries one attempt at a time.
    if (attached.record && !attached.record->isFinal() &&
        attached.record->isAttachedTo(attached.connection))
        co_return false;
    const Instant now = clockNow();
    uint64_t offset = 0;
    AttemptTable::Lookup lookup;
    if (frame.has_attempt()) {
        lookup =
            this->runner.table().registerAttempt(id, frame.attempt(), frame.head_version(), now);
    } else {
        offset = frame.resume().offset();
        lookup = this->runner.table().findForResume(id, now);
    }
    if (!lookup.record)
        co_return co_await this->refuseUnknown(channel, std::move(frame), lookup.mayHaveRun);
    attached.record = lookup.record;
    attached.connection = lookup.record->attach();
    asio::co_spawn(channel->executor(),
                   this->write(channel, lookup.record, attached.connection, offset),
                   asio::detached);
    if (lookup.isNew)
        this->runner.accept(lookup.record);
    co_return true;
}

asio::awaitable<bool> DataServer::refuseUnknown(Channel channel, proto::Frame received,
                                                bool mayHaveRun)
{
    proto::Frame frame;
    frame.set_request_id(received.request_id());
    frame.set_attempt_number(received.attempt_number());
    frame.set_head_version(this->runner.headVersion());
    frame.set_epoch(this->runner.epoch());
    if (mayHaveRun) {
        auto &failed = *frame.mutable_failed();
        failed.set_error_kind(static_cast<uint32_t>(ErrorKind::AnswerExpired));
        failed.set_message("the answer is no longer kept");
        failed.set_may_have_run(true);
        *failed.mutable_load() = this->runner.load();
    } else {
        auto &refused = *frame.mutable_refused();
        refused.set_error_kind(static_cast<uint32_t>(ErrorKind::NeverSeen));
        refused.set_message("the attempt was never seen and will not run here");
        *refused.mutable_load() = this->runner.load();
    }
    co_return isOk(co_await channel->send(frame));
}

proto::Frame DataServer::frameFor(const AttemptRecord &record) const
{
    proto::Frame frame;
    frame.set_request_id(record.id.requestId);
    frame.set_attempt_number(record.id.number);
    frame.set_head_version(this->runner.headVersion());
    frame.set_epoch(this->runner.epoch());
    return frame;
}

bool DataServer::fillFinal(const AttemptRecord &record, uint64_t offset, proto::Frame &frame) const
{
    if (!record.isFinal())
        return false;
    const auto &reason = record.reason();
    if (record.stage() == AttemptStage::Refused) {
        auto &refused = *frame.mutable_refused();
        refused.set_error_kind(static_cast<uint32_t>(reason.kind));
        refused.set_message(reason.message);
        refused.set_retry_after_ms(retryAfterOf(reason));
        *refused.mutable_load() = this->runner.load();
    } else if (record.stage() == AttemptStage::Failed) {
        auto &failed = *frame.mutable_failed();
        failed.set_error_kind(static_cast<uint32_t>(reason.kind));
        failed.set_message(reason.message);
        failed.set_may_have_run(true);
        failed.set_engine_lost(record.isEngineLost());
        *failed.mutable_load() = this->runner.load();
    } else {
        if (offset < record.totalBytes())
            return false;
        auto &end = *frame.mutable_end();
        end.set_total_bytes(record.totalBytes());
        end.set_digest(record.digest());
        *end.mutable_load() = this->runner.load();
    }
    return true;
}

asio::awaitable<void> DataServer::write(Channel channel, Record record, uint64_t connection,
                                        uint64_t offset)
{
    AnswerCursor cursor;
    cursor.offset = offset;
    Instant lastSent = clockNow();
    while (record->isAttachedTo(connection)) {
        proto::Frame frame = this->frameFor(*record);
        const bool hasFrame = this->fillNext(*record, cursor, frame);
        // Frames that are ready together are sent in one write: a short answer is head, data and
        // end.
        if (hasFrame && !cursor.finalFrameMade && channel->queuedBytes() < MaxDataBytes) {
            channel->queue(frame);
            continue;
        }
        if (!hasFrame && channel->queuedBytes() == 0) {
            if (clockNow() - lastSent < this->heartbeat) {
                record->changed.expires_at(lastSent + this->heartbeat);
                co_await record->changed.async_wait(asio::as_tuple(asio::use_awaitable));
                continue;
            }
            *frame.mutable_heartbeat()->mutable_load() = this->runner.load();
        }
        if (hasFrame || frame.has_heartbeat())
            channel->queue(frame);
        const auto sent = co_await channel->flush();
        if (!isOk(sent)) {
            record->detach(connection, clockNow());
            channel->close();
            co_return;
        }
        lastSent = clockNow();
        if (cursor.dataSent)
            record->noteSent(cursor.offset);
        if (cursor.finalFrameMade) {
            record->noteFinalSent();
            co_return;
        }
    }
}

bool DataServer::fillNext(const AttemptRecord &record, AnswerCursor &cursor,
                          proto::Frame &frame) const
{
    const bool passedAdmission =
        record.stage() != AttemptStage::Arrived && record.stage() != AttemptStage::Refused;
    if (passedAdmission && !cursor.admittedSent) {
        *frame.mutable_admitted()->mutable_load() = this->runner.load();
        cursor.admittedSent = true;
        return true;
    }
    if (record.head() && !cursor.headSent) {
        *frame.mutable_head() = *record.head();
        cursor.headSent = true;
        return true;
    }
    auto data = record.read(cursor.offset, MaxDataBytes);
    if (!isOk(data)) {
        auto &failed = *frame.mutable_failed();
        failed.set_error_kind(static_cast<uint32_t>(ErrorKind::StreamBroken));
        failed.set_message(error(data).message);
        failed.set_may_have_run(true);
        cursor.finalFrameMade = true;
        return true;
    }
    if (!value(data).empty()) {
        frame.mutable_data()->set_offset(cursor.offset);
        cursor.offset += value(data).size();
        cursor.dataSent = true;
        frame.mutable_data()->set_data(value(std::move(data)));
        return true;
    }
    cursor.finalFrameMade = this->fillFinal(record, cursor.offset, frame);
    return cursor.finalFrameMade;
}

} // namespace tray
