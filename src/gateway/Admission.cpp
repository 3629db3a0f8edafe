// Sends the asks and notes of one request.
#include "gateway/Admission.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace tray {

namespace {

uint32_t toUint32(double number)
{
    return static_cast<uint32_t>(
        std::clamp<double>(number, 0, std::numeric_limits<uint32_t>::max()));
}

uint32_t toWireMs(Duration duration)
{
    return toUint32(static_cast<double>(toMs(duration)));
}

} // namespace

Admission::Admission(std::weak_ptr<AdmissionClient> client, AdmissionQuery request, Instant now)
    : client(std::move(client)), request(std::move(request)),
      wait(this->request.isRemote, this->request.queueLimit, now),
      changed(this->client.lock()->context)
{
    const auto owner = this->client.lock();
    this->ticket = owner->open(*this);
    this->incarnation = owner->incarnation;
    owner->hooks.waitBegan(this->request.upstreamId, this->request.promptTokens);
}

Admission::~Admission()
{
    const auto owner = this->client.lock();
    if (!owner)
        return;
    this->endWait();
    owner->close(this->ticket);
    if (!this->wait.mayBeKnown())
        return;
    const auto stage = this->firstEventAfter ? proto::ADMISSION_ENDED : proto::ADMISSION_CANCELLED;
    owner->sendFinalNote(this->makeNote(stage), this->request.steward, clockNow());
}

void Admission::advance(Instant now)
{
    const auto owner = this->client.lock();
    if (!owner || !this->wait.takeDueAsk(now))
        return;
    proto::Datagram datagram;
    auto *ask = datagram.mutable_admission_ask();
    ask->set_upstream_id(this->request.upstreamId);
    ask->set_born_ms(this->request.startedAtMs);
    ask->set_incarnation(this->incarnation);
    ask->set_ticket(this->ticket);
    ask->set_priority(static_cast<uint32_t>(this->request.priority));
    ask->set_account(this->request.account);
    ask->set_prefill_us(toUint32(this->request.prefillMs * 1000));
    ask->set_kv_tokens(toUint32(static_cast<double>(this->request.kvTokens)));
    ask->set_limit_ms(toWireMs(this->request.queueLimit - now));
    ask->set_deadline_ms(toWireMs(this->request.deadline - now));
    ask->set_event_gap_ms(toWireMs(this->request.eventGap));
    ask->set_fastest_gap_us(
        toUint32(std::chrono::duration<double, std::micro>(this->request.fastestGap).count()));
    if (const auto &capacity = this->request.capacity) {
        ask->mutable_capacity()->set_slots(capacity->slots);
        ask->mutable_capacity()->set_kv_tokens(capacity->kvTokens);
        ask->set_config_version(capacity->configVersion);
    }
    owner->hooks.send(datagram, this->request.steward);
    owner->repeatNotes(now);
}

void Admission::endWait()
{
    const auto owner = this->client.lock();
    if (owner && std::exchange(this->isWaiting, false))
        owner->hooks.waitEnded(this->request.upstreamId, this->request.promptTokens);
}

boost::asio::awaitable<void> Admission::waitForChange(Instant now)
{
    co_await this->changed.waitFor(
        std::max<Duration>(this->wait.nextStepAt() - now, Duration::zero()));
}

void Admission::handleReply(const proto::AdmissionReply &reply, Instant now)
{
    this->wait.handleReply(reply.verdict(), milliseconds(reply.expected_ms()), now);
    this->wake();
}

void Admission::noteEvent(Instant now)
{
    if (this->firstEventAfter)
        return;
    this->firstEventAfter = now - this->sentAt;
    const auto owner = this->client.lock();
    if (!owner)
        return;
    proto::Datagram datagram;
    *datagram.mutable_admission_note() = this->makeNote(proto::ADMISSION_FIRST_EVENT);
    owner->hooks.send(datagram, this->request.steward);
}

proto::AdmissionNote Admission::makeNote(proto::AdmissionStage stage) const
{
    proto::AdmissionNote note;
    note.set_incarnation(this->incarnation);
    note.set_ticket(this->ticket);
    note.set_stage(stage);
    if (this->firstEventAfter)
        note.set_first_event_ms(toWireMs(*this->firstEventAfter));
    note.set_median_gap_ms(toWireMs(this->gaps.median().value_or(Duration::zero())));
    note.set_longest_gap_ms(toWireMs(this->gaps.longest()));
    return note;
}

} // namespace tray
