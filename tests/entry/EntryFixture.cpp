// Implements the scripted agents, the fixed state, the claims in memory and the client's requests.
#include "entry/EntryFixture.h"

#include "net/Pause.h"

#include <boost/json/parse.hpp>

namespace tray::test {

namespace asio = boost::asio;

namespace {

proto::Frame makeReplyFrame(const proto::Frame &frame)
{
    proto::Frame other;
    other.set_request_id(frame.request_id());
    other.set_attempt_number(frame.attempt_number());
    other.set_epoch(1);
    return other;
}

HttpHeaders bearerHeader(const std::string &credential)
{
    HttpHeaders headers;
    headers.emplace_back("Authorization", "Bearer " + credential);
    return headers;
}

} // namespace

asio::awaitable<void> ScriptedAgent::serve(std::shared_ptr<FrameChannel> channel)
{
    while (true) {
        auto received = co_await channel->receive(std::chrono::seconds(20));
        if (!isOk(received))
            co_return;
        proto::Frame frame = std::move(value(received));
        if (frame.has_attempt()) {
            if (!co_await this->onAttempt(*channel, frame))
                co_return;
        } else if (frame.has_resume()) {
            ++this->resumes;
            const size_t offset = frame.resume().offset();
            co_await this->sendAnswer(*channel, frame, offset, this->answer.size());
        }
    }
}

AgentScript ScriptedAgent::nextScript(const proto::Attempt &attempt)
{
    ++this->attempts;
    const std::lock_guard lock(this->mutex);
    this->last = attempt;
    if (this->scripts.empty())
        return {};
    const auto script = this->scripts.front();
    this->scripts.pop_front();
    return script;
}

asio::awaitable<void> ScriptedAgent::sendForeignFrames(FrameChannel &channel, proto::Frame reply)
{
    proto::Frame foreign = makeReplyFrame(reply);
    foreign.set_request_id("another request");
    foreign.mutable_refused()->set_error_kind(1);
    co_await channel.send(foreign);
    proto::Frame late = makeReplyFrame(reply);
    late.set_attempt_number(reply.attempt_number() + 1);
    late.mutable_data()->set_data("late");
    co_await channel.send(late);
}

asio::awaitable<bool> ScriptedAgent::onAttempt(FrameChannel &channel, proto::Frame frame)
{
    const AgentScript script = this->nextScript(frame.attempt());
    proto::Frame reply = makeReplyFrame(frame);
    asio::steady_timer timer(channel.executor());
    const size_t half = this->answer.size() / 2;
    switch (script.kind) {
    case AgentScript::Kind::Answer:
        co_await this->sendAnswer(channel, frame, 0, this->answer.size());
        break;
    case AgentScript::Kind::Refuse:
        reply.mutable_refused()->set_error_kind(static_cast<uint32_t>(script.error));
        reply.mutable_refused()->set_retry_after_ms(2500);
        co_await channel.send(reply);
        break;
    case AgentScript::Kind::LoseEngine:
        reply.mutable_failed()->set_error_kind(static_cast<uint32_t>(ErrorKind::UpstreamFailed));
        reply.mutable_failed()->set_may_have_run(true);
        reply.mutable_failed()->set_engine_lost(true);
        co_await channel.send(reply);
        break;
    case AgentScript::Kind::StopSending:
        co_await this->sendAnswer(channel, frame, 0, half);
        timer.expires_after(std::chrono::seconds(3));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return false;
    case AgentScript::Kind::Disconnect:
        this->server.stop();
        co_return false;
    case AgentScript::Kind::TruncateAnswer:
        co_await this->sendAnswer(channel, frame, 0, half);
        this->server.stop();
        co_return false;
    case AgentScript::Kind::SendForeignFrames:
        co_await this->sendForeignFrames(channel, reply);
        co_await this->sendAnswer(channel, frame, 0, this->answer.size());
        break;
    case AgentScript::Kind::AnswerLate:
        for (int i = 0; i < 3; ++i) {
            timer.expires_after(milliseconds(100));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            reply.mutable_heartbeat();
            co_await channel.send(reply);
        }
        co_await this->sendAnswer(channel, frame, 0, this->answer.size());
        break;
    case AgentScript::Kind::SendHeartbeats:
        co_await this->sendHeartbeats(channel, reply);
        co_return false;
    case AgentScript::Kind::SendHalfThenHeartbeats:
        co_await this->sendAnswer(channel, frame, 0, half);
        co_await this->sendHeartbeats(channel, reply);
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> ScriptedAgent::sendHeartbeats(FrameChannel &channel, proto::Frame reply)
{
    reply.mutable_heartbeat();
    while (channel.isUsable()) {
        co_await channel.send(reply);
        co_await pauseFor(milliseconds(100));
    }
}

asio::awaitable<void> ScriptedAgent::sendAnswer(FrameChannel &channel, proto::Frame attemptFrame,
                                                size_t from, size_t to)
{
    proto::Frame frame = makeReplyFrame(attemptFrame);
    frame.mutable_head()->set_status(200);
    auto &header = *frame.mutable_head()->add_headers();
    header.set_name("Content-Type");
    header.set_value("application/json");
    co_await channel.send(frame);
    frame.mutable_data()->set_offset(from);
    frame.mutable_data()->set_data(this->answer.substr(from, to - from));
    co_await channel.send(frame);
    if (to < this->answer.size())
        co_return;
    frame.mutable_end()->set_total_bytes(this->answer.size());
    frame.mutable_end()->set_digest(hash64(this->answer));
    co_await channel.send(frame);
}

FixedState::FixedState()
{
    std::vector<proto::CatalogueObject> objects(6);
    objects[0].set_name("gold");
    objects[0].mutable_tier()->set_deadline_ms(3000);
    objects[1].set_name("shop");
    objects[1].mutable_client_account()->set_tier("gold");
    objects[1].mutable_client_account()->add_credential_digests(sha256Hex("secret"));
    objects[2].set_name("advice");
    objects[2].mutable_model()->set_pool("engines");
    objects[2].mutable_model()->set_version("1");
    objects[3].set_name("trujillo");
    objects[3].mutable_adapter()->set_base_model("advice");
    objects[4].set_name("bench");
    objects[4].mutable_service()->set_pool("services");
    objects[4].mutable_service()->add_non_idempotent_methods("POST");
    objects[5].set_name("other");
    objects[5].mutable_client_account()->set_tier("gold");
    objects[5].mutable_client_account()->add_credential_digests(sha256Hex("another"));
    this->snapshot = std::make_shared<const Catalogue>(7, objects);
    this->sources.statuses =
        std::make_shared<const std::vector<std::shared_ptr<const proto::UpstreamStatus>>>();
    this->sources.instances = std::make_shared<const proto::InstanceList>();
}

void FixedState::addAgent(const std::string &name, const Address &address)
{
    auto statuses = *this->sources.statuses;
    for (const bool isService : {false, true}) {
        auto status = std::make_shared<proto::UpstreamStatus>();
        status->set_upstream(isService ? name + "-bench" : name);
        status->set_epoch(1);
        status->set_pool(isService ? "services" : "engines");
        status->set_service(isService);
        status->set_data_centre("norte-a");
        status->set_region("norte");
        status->set_concurrency(8);
        status->set_data_address(toString(address));
        auto &item = *status->add_items();
        item.set_name("advice");
        item.set_version("1");
        item.set_ready(!isService);
        statuses.push_back(status);
    }
    this->sources.statuses =
        std::make_shared<const std::vector<std::shared_ptr<const proto::UpstreamStatus>>>(statuses);
}

asio::awaitable<proto::ClaimReply> MemoryClaims::begin(std::string clientAccount, std::string key,
                                                       uint64_t bodyDigest, std::string claimId,
                                                       Instant deadline)
{
    proto::ClaimReply reply;
    ++this->beginCount;
    while (this->unresponsive && clockNow() < deadline)
        co_await pauseFor(milliseconds(10));
    if (this->unresponsive || !this->available) {
        reply.set_verdict(proto::CLAIM_VERDICT_UNAVAILABLE);
        co_return reply;
    }
    if (this->heldByOtherRequest) {
        reply.set_verdict(proto::CLAIM_VERDICT_IN_PROGRESS);
        co_return reply;
    }
    const std::lock_guard lock(this->mutex);
    auto &record = this->records[clientAccount + "/" + key];
    const bool isFree = record.state() == proto::CLAIM_STATE_UNKNOWN ||
                        record.state() == proto::CLAIM_STATE_RELEASED;
    if (isFree) {
        record.set_state(proto::CLAIM_STATE_GRANTED);
        record.set_claim_id(claimId);
        record.set_body_digest(bodyDigest);
        reply.set_verdict(proto::CLAIM_VERDICT_GRANTED);
    } else if (record.body_digest() != bodyDigest) {
        reply.set_verdict(proto::CLAIM_VERDICT_BODY_DIFFERS);
    } else if (record.state() == proto::CLAIM_STATE_FINISHED) {
        reply.set_verdict(proto::CLAIM_VERDICT_FINISHED);
    } else {
        reply.set_verdict(proto::CLAIM_VERDICT_IN_PROGRESS);
    }
    *reply.mutable_record() = record;
    co_return reply;
}

asio::awaitable<void> MemoryClaims::finish(std::string clientAccount, std::string key, std::string,
                                           int status, std::string contentType, std::string answer)
{
    const std::lock_guard lock(this->mutex);
    auto &record = this->records[clientAccount + "/" + key];
    record.set_state(proto::CLAIM_STATE_FINISHED);
    record.set_status(static_cast<uint32_t>(status));
    record.set_content_type(contentType);
    record.set_answer(answer);
    ++this->finishCount;
    co_return;
}

asio::awaitable<void> MemoryClaims::release(std::string clientAccount, std::string key, std::string)
{
    const std::lock_guard lock(this->mutex);
    this->records[clientAccount + "/" + key].set_state(proto::CLAIM_STATE_RELEASED);
    ++this->releaseCount;
    co_return;
}

EntryFixture::EntryFixture(EntryOptions options)
    : first(this->context), second(this->context), server(
                                                       this->context,
                                                       [&] {
                                                           options.dataCentre = "norte-a";
                                                           options.region = "norte";
                                                           return options;
                                                       }(),
                                                       this->state, this->claims, this->metrics),
      client(this->context), address(value(this->server.listen({"127.0.0.1", 0})))
{
    this->state.addAgent("first", this->first.address);
    for (int i = 0; i < 2; ++i)
        this->threads.emplace_back([this] { this->context.run_for(std::chrono::seconds(60)); });
}

EntryFixture::~EntryFixture()
{
    this->context.stop();
    for (auto &thread : this->threads)
        thread.join();
}

Result<HttpResponse> EntryFixture::call(std::string method, std::string target, std::string body,
                                        HttpHeaders headers)
{
    HttpRequest request{std::move(method), std::move(target), std::move(headers), std::move(body)};
    return asio::co_spawn(
               this->context,
               this->client.request(this->address, std::move(request), std::chrono::seconds(10)),
               asio::use_future)
        .get();
}

Result<HttpResponse> EntryFixture::complete(bool stream, const std::string &key,
                                            const std::string &prompt)
{
    auto headers = bearerHeader("secret");
    if (!key.empty())
        headers.emplace_back("Idempotency-Key", key);
    return this->call("POST", "/v1/completions",
                      R"({"model":"advice","prompt":")" + prompt + R"(","max_tokens":9,"stream":)" +
                          (stream ? "true}" : "false}"),
                      std::move(headers));
}

std::string ranOf(const HttpResponse &response)
{
    return boost::json::parse(response.body).at("error").at("ran").as_string().c_str();
}

} // namespace tray::test
