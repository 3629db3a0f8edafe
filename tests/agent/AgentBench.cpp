#include "agent/AgentBench.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace tray::test {

namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<void> AgentBench::pause(Duration time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> AgentBench::waitUntilReady()
{
    while (!this->controller->obeysFencing() || !this->controller->ledger().hasReport())
        co_await this->pause(milliseconds(5));
    co_await this->pause(milliseconds(80));
}

asio::awaitable<std::unique_ptr<FrameChannel>> AgentBench::connect()
{
    auto connected = co_await FrameChannel::connect(this->context.get_executor(), this->address,
                                                    std::chrono::seconds(2));
    REQUIRE(isOk(connected));
    co_return value(std::move(connected));
}

asio::awaitable<proto::Frame> AgentBench::nextFrame(FrameChannel &channel)
{
    while (true) {
        auto frame = co_await channel.receive(std::chrono::seconds(5));
        if (!isOk(frame))
            throw std::runtime_error("no frame: " + error(frame).message);
        if (!value(frame).has_heartbeat() && !value(frame).has_admitted())
            co_return value(frame);
    }
}

asio::awaitable<proto::Frame> AgentBench::finalFrame(FrameChannel &channel, std::string *text)
{
    while (true) {
        proto::Frame frame = co_await this->nextFrame(channel);
        if (frame.has_data() && text != nullptr)
            *text += frame.data().data();
        if (frame.has_end() || frame.has_refused() || frame.has_failed())
            co_return frame;
    }
}

void AgentBench::run(asio::awaitable<void> task)
{
    std::exception_ptr thrown;
    bool finished = false;
    asio::co_spawn(this->context, std::move(task), [&](std::exception_ptr failure) {
        thrown = failure;
        finished = true;
        this->context.stop();
    });
    this->context.run_for(std::chrono::seconds(20));
    if (thrown)
        std::rethrow_exception(thrown);
    CHECK(finished);
}

proto::Frame bareFrame(const std::string &id)
{
    proto::Frame frame;
    frame.set_request_id(id);
    frame.set_attempt_number(1);
    frame.set_head_version(1);
    return frame;
}

proto::Frame attemptFrame(const std::string &id, const std::string &prompt, int tokens, bool stream)
{
    json::object body{{"model", "m"}, {"stream", stream}, {"max_tokens", tokens}};
    body["prompt"] = prompt;
    proto::Frame frame = bareFrame(id);
    auto &attempt = *frame.mutable_attempt();
    attempt.set_client_account("shop");
    attempt.set_tier_rank(1);
    attempt.set_remaining_ms(5000);
    attempt.set_model("m");
    attempt.set_method("POST");
    attempt.set_target("/v1/completions");
    attempt.set_body(json::serialize(body));
    attempt.set_stream(stream);
    attempt.set_idempotent(true);
    attempt.set_max_tokens(static_cast<uint32_t>(tokens));
    attempt.set_content_digest(std::hash<std::string>()(prompt));
    return frame;
}

} // namespace tray::test
