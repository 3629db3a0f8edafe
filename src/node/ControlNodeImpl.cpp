// Control channel of a node: handles requests from peers and sends calls to them.
#include "node/ControlNodeImpl.h"

#include "base/Hash.h"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace {

namespace asio = boost::asio;

constexpr size_t MaxEventsPerReply = 1000;

Address platformAddress(const proto::PlatformSection &platform)
{
    const auto address = parseAddress(platform.address());
    return isOk(address) ? value(address) : Address{};
}

proto::ControlReply failure(ErrorKind kind, const std::string &message)
{
    proto::ControlReply reply;
    reply.set_error_kind(static_cast<uint32_t>(kind));
    reply.set_message(message);
    return reply;
}

} // namespace

ControlNode::Impl::Impl(asio::io_context &context, NodeIdentity identity,
                        const proto::PlatformSection &platform,
                        const proto::ControlSection &control, Metrics &metrics, EventRing &events)
    : context(context), strand(asio::make_strand(context)), identity(std::move(identity)),
      settings(control), metrics(metrics), events(events), http(context),
      api(http, platformAddress(platform), milliseconds(platform.timeout_ms()), metrics),
      source(http, platformAddress(platform), milliseconds(platform.timeout_ms()), metrics),
      client(std::make_unique<ControlClient>()),
      state(this->identity, newNonce(), milliseconds(control.stale_after_ms())),
      randomSource(static_cast<uint32_t>(newNonce())), wakeTimer(strand)
{
    this->entry.set_id(this->identity.instance);
    this->entry.set_role(this->identity.role);
    this->entry.set_data_centre(this->identity.dataCentre);
    this->entry.set_region(this->identity.region);
    this->entry.set_upstream(this->identity.upstream);
}

Result<Address> ControlNode::Impl::listen()
{
    const auto address = parseAddress(this->settings.listen());
    if (!isOk(address))
        return error(address);
    this->server = std::make_unique<ControlServer>(
        [this](const std::string &message, ControlServer::Reply reply) {
            this->handle(message, std::move(reply));
        });
    auto bound = this->server->listen(value(address));
    if (isOk(bound)) {
        const std::lock_guard lock(this->mutex);
        this->entry.set_control_address(toString(value(bound)));
        this->state.setSelf(this->entry);
    }
    return bound;
}

void ControlNode::Impl::handle(const std::string &message, ControlServer::Reply reply)
{
    this->serverReceived += message.size();
    proto::ControlRequest request;
    if (!request.ParseFromString(message)) {
        auto refused = failure(ErrorKind::BadRequest, "control request cannot be read");
        this->finish(refused, reply);
        return;
    }
    this->events.clock().merge(request.clock(), wallNow());
    this->noteHeadVersion(request.head_version());
    Handler handler;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->handlers.find(request.body_case());
        if (found != this->handlers.end())
            handler = found->second;
    }
    if (handler) {
        handler(std::move(request),
                [self = this->shared_from_this(), reply = std::move(reply)](
                    proto::ControlReply answer) { self->finish(answer, reply); });
        return;
    }
    auto answer = this->answer(request);
    this->finish(answer, reply);
}

proto::ControlReply ControlNode::Impl::answer(const proto::ControlRequest &request)
{
    proto::ControlReply reply;
    switch (request.body_case()) {
    case proto::ControlRequest::kSync: {
        const std::lock_guard lock(this->mutex);
        *reply.mutable_sync() = this->state.answer(request.sync(), this->now());
        return reply;
    }
    case proto::ControlRequest::kSections: {
        const std::lock_guard lock(this->mutex);
        for (auto &section : this->state.sections(request.sections()))
            reply.mutable_sections()->add_sections(std::move(section));
        reply.mutable_sections();
        return reply;
    }
    case proto::ControlRequest::kSuspects: {
        std::vector<proto::Suspect> newSuspects;
        {
            const std::lock_guard lock(this->mutex);
            for (const auto &suspect : request.suspects().suspects()) {
                if (this->state.suspects().merge(suspect, this->now()))
                    newSuspects.push_back(
                        this->state.suspects().find(suspect.digest(), this->now()));
            }
        }
        this->propagateSuspects(newSuspects, request.suspects().sender());
        return reply;
    }
    case proto::ControlRequest::kEvents:
        return this->answerEvents(request.events());
    case proto::ControlRequest::kStatus:
        return this->answerStatus();
    default:
        return failure(ErrorKind::NotFound, "this process does not handle the request");
    }
}

proto::ControlReply ControlNode::Impl::answerEvents(const proto::EventsRequest &request)
{
    proto::ControlReply reply;
    auto &body = *reply.mutable_events();
    body.set_next(request.after());
    for (const auto &event : this->events.after(request.after(), MaxEventsPerReply)) {
        auto &row = *body.add_events();
        row.set_clock(event.clock);
        row.set_process(this->identity.instance);
        row.set_kind(event.kind);
        row.set_subject(event.subject);
        row.set_text(event.text);
        row.set_position(event.position);
        body.set_next(event.position);
    }
    return reply;
}

proto::ControlReply ControlNode::Impl::answerStatus()
{
    proto::ControlReply reply;
    auto &body = *reply.mutable_status();
    const auto now = this->now();
    const std::lock_guard lock(this->mutex);
    body.set_instance(this->identity.instance);
    body.set_head_version(this->state.headVersion());
    *body.mutable_whole() = this->state.systemInForce(now);
    for (const auto &status : *this->state.statuses())
        *body.add_upstreams() = *status;
    *body.mutable_instances() = *this->state.instances();
    for (const auto &[region, placement] : this->state.requestedPlacements())
        *body.add_wishes() = placement;
    body.set_ready(this->state.isFresh(now));
    body.set_platform_out(this->state.isPlatformUnreachable(now));
    return reply;
}

void ControlNode::Impl::finish(proto::ControlReply &reply, const ControlServer::Reply &send)
{
    {
        const std::lock_guard lock(this->mutex);
        reply.set_head_version(this->state.headVersion());
    }
    reply.set_clock(this->events.clock().tick(wallNow()));
    auto message = reply.SerializeAsString();
    this->serverSent += message.size();
    send(std::move(message));
}

void ControlNode::Impl::noteHeadVersion(uint64_t version)
{
    {
        const std::lock_guard lock(this->mutex);
        if (version <= this->state.highestHeadVersion())
            return;
        this->state.noteHeadVersion(version);
    }
    this->wake();
}

asio::awaitable<Result<proto::ControlReply>>
ControlNode::Impl::call(Address peer, proto::ControlRequest request, Duration timeout)
{
    {
        const std::lock_guard lock(this->mutex);
        request.set_head_version(this->state.headVersion());
    }
    request.set_clock(this->events.clock().tick(wallNow()));
    auto message = request.SerializeAsString();
    auto result = co_await this->client->request(peer, std::move(message), timeout);
    if (!isOk(result))
        co_return error(result);
    proto::ControlReply reply;
    if (!reply.ParseFromString(value(result)))
        co_return Error{ErrorKind::UpstreamFailed, toString(peer) + ": reply cannot be read"};
    this->events.clock().merge(reply.clock(), wallNow());
    this->noteHeadVersion(reply.head_version());
    if (reply.error_kind() != 0)
        co_return Error{static_cast<ErrorKind>(reply.error_kind()), reply.message()};
    co_return reply;
}

double ControlNode::Impl::random()
{
    const std::lock_guard lock(this->mutex);
    return std::uniform_real_distribution<>(0, 1)(this->randomSource);
}

} // namespace tray
