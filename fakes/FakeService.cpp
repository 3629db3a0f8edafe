// Serves the requests, the counts of executions and the faults of the service stand-in.
#include "FakeService.h"

#include "FakeHttp.h"

namespace tray::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

struct FakeService::Impl
{
    asio::awaitable<void> serve(HttpRequest request, HttpResponder &responder);
    void crash();

    std::unique_ptr<HttpServer> server;
    std::function<void()> onCrash;
    Duration executionTime{};
    // A request whose body contains this text crashes the service.
    std::string crashText;
    // Number of next requests that are executed but whose response is dropped.
    int loseAnswers = 0;
    bool unresponsive = false;
    bool dead = false;
    bool stopped = false;
    std::map<std::string, int> executions;
    std::map<std::string, int> executionsByKey;
};

FakeService::FakeService(asio::io_context &context, const proto::FakeServiceSection &settings,
                         std::function<void()> onCrash)
    : impl(std::make_shared<Impl>())
{
    this->impl->executionTime = milliseconds(settings.execute_ms());
    this->impl->onCrash = std::move(onCrash);
    this->impl->server = std::make_unique<HttpServer>(
        context, [state = this->impl.get()](HttpRequest request, HttpResponder &responder) {
            return state->serve(std::move(request), responder);
        });
}

FakeService::~FakeService()
{
    this->stop();
}

Result<Address> FakeService::listen(const Address &address)
{
    return this->impl->server->listen(address);
}

void FakeService::stop()
{
    this->impl->stopped = true;
    this->impl->server->drain();
}

const std::map<std::string, int> &FakeService::executions() const
{
    return this->impl->executions;
}

const std::map<std::string, int> &FakeService::executionsByKey() const
{
    return this->impl->executionsByKey;
}

void FakeService::Impl::crash()
{
    if (this->onCrash)
        this->onCrash();
    this->dead = true;
}

void FakeService::setFault(const json::object &fault)
{
    auto &state = *this->impl;
    state.unresponsive = boolField(fault, "silent", state.unresponsive);
    state.loseAnswers = static_cast<int>(numberField(fault, "lose_answers", state.loseAnswers));
    if (fault.contains("crash_text"))
        state.crashText = textField(fault, "crash_text");
    if (fault.contains("execute_ms"))
        state.executionTime =
            milliseconds(static_cast<int64_t>(numberField(fault, "execute_ms", 0)));
    if (boolField(fault, "die", false))
        state.crash();
    if (boolField(fault, "revive", false))
        state.dead = false;
}

asio::awaitable<void> FakeService::serveAdmin(HttpRequest request, HttpResponder &responder)
{
    if (pathOf(request.target) == "/fault")
        this->setFault(parseObject(request.body));
    json::object byId;
    json::object byKey;
    uint64_t total = 0;
    for (const auto &[id, count] : this->impl->executions) {
        byId[id] = count;
        total += static_cast<uint64_t>(count);
    }
    for (const auto &[key, count] : this->impl->executionsByKey)
        byKey[key] = count;
    json::object body;
    body["executions"] = byId;
    body["by_key"] = byKey;
    body["total"] = total;
    co_await responder.respond(jsonResponse(200, body));
}

asio::awaitable<void> FakeService::Impl::serve(HttpRequest request, HttpResponder &responder)
{
    while (this->unresponsive && !this->stopped && !responder.isPeerGone())
        co_await pauseFor(milliseconds(20));
    if (this->dead || this->stopped) {
        responder.abort();
        co_return;
    }
    const std::string id(findHeader(request.headers, "X-Request-Id"));
    const std::string key(findHeader(request.headers, "Idempotency-Key"));
    ++this->executions[id];
    if (!key.empty())
        ++this->executionsByKey[key];
    if (!this->crashText.empty() && request.body.find(this->crashText) != std::string::npos)
        this->crash();
    if (this->executionTime.count() > 0)
        co_await pauseFor(this->executionTime);
    if (this->loseAnswers > 0 || this->dead) {
        this->loseAnswers -= this->dead ? 0 : 1;
        responder.abort();
        co_return;
    }
    json::object body;
    body["method"] = request.method;
    body["target"] = request.target;
    body["request_id"] = id;
    body["body"] = request.body;
    co_await responder.respond(jsonResponse(200, body));
}

} // namespace tray::fakes
