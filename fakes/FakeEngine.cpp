// Completions and streams of the engine stand-in.
#include "FakeEngineImpl.h"

#include "FakeHttp.h"
#include "base/Hash.h"
#include "net/UriEncoding.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
// Number of most recent streams that can be resumed.
constexpr size_t MaxResumableStreams = 4096;
constexpr uint32_t DefaultMaxTokens = 16;
constexpr size_t EchoBytes = 48;

/// Contents of all chat messages, one per line, or the prompt of a request without messages.
std::string promptOf(const json::object &body)
{
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return textField(body, "prompt");
    std::string text;
    for (const auto &message : messages->as_array()) {
        if (message.is_object())
            text += textField(message.as_object(), "content") + "\n";
    }
    if (!text.empty())
        text.pop_back();
    return text;
}

json::object usageOf(const BatchRequest &request)
{
    const json::object details{{"cached_tokens", request.cachedTokens}};
    return {{"prompt_tokens", request.promptTokens},
            {"completion_tokens", request.generatedTokens},
            {"total_tokens", request.promptTokens + request.generatedTokens},
            {"prompt_tokens_details", details}};
}

std::string_view finishReason(const BatchRequest &request)
{
    return request.endsAtTokenLimit ? "length" : "stop";
}

/// Data of the event with the given number, starting at 1. The event after the last token contains
/// the finish reason and the usage.
std::string eventData(const BatchRequest &request, bool chat, uint32_t number)
{
    const bool isLast = number > request.answerTokens;
    const std::string text = isLast ? std::string() : request.token(number - 1);
    json::object choice{{"index", 0}};
    if (chat && isLast)
        choice["delta"] = json::object{};
    else if (chat)
        choice["delta"] = json::object{{"content", text}};
    else
        choice["text"] = text;
    choice["finish_reason"] = isLast ? json::value(finishReason(request)) : json::value(nullptr);
    json::object event{{"id", request.id},
                       {"object", chat ? "chat.completion.chunk" : "text_completion"},
                       {"model", request.model}};
    event["choices"] = json::array{choice};
    if (isLast)
        event["usage"] = usageOf(request);
    return json::serialize(event);
}

/// Response to a request that does not stream.
HttpResponse completionResponse(const BatchRequest &request, bool chat)
{
    std::string text;
    for (uint32_t i = 0; i < request.generatedTokens; ++i)
        text += request.token(i);
    json::object choice{{"index", 0}, {"finish_reason", finishReason(request)}};
    if (chat)
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    json::object body{{"id", request.id},
                      {"object", chat ? "chat.completion" : "text_completion"},
                      {"model", request.model}};
    body["choices"] = json::array{choice};
    body["usage"] = usageOf(request);
    return jsonResponse(200, body);
}

/// Model name without the adapter name, which follows a colon.
std::string baseModel(const std::string &model)
{
    return model.substr(0, model.find(':'));
}

} // namespace

FakeEngine::Impl::Impl(asio::io_context &context, const proto::FakeEngineSection &settings,
                       std::function<void()> onCrash)
    : context(context), settings(settings), onCrash(std::move(onCrash)),
      memory(settings.memory_bytes(), settings.fencing_obeyed()),
      batch(context.get_executor(), settings,
            [this](uint64_t bytes) { this->memory.setKvBytes(bytes); }),
      client(context), snapshotTimer(context)
{}

FakeEngine::FakeEngine(asio::io_context &context, const proto::FakeEngineSection &settings,
                       std::function<void()> onCrash)
    : impl(std::make_shared<Impl>(context, settings, std::move(onCrash)))
{
    HttpServerLimits limits;
    limits.bodyBytes = 80u << 20;
    this->impl->server = std::make_unique<HttpServer>(
        context,
        [state = this->impl.get()](HttpRequest request, HttpResponder &responder) {
            return state->serve(std::move(request), responder);
        },
        limits);
    this->impl->takeSnapshot();
    asio::co_spawn(context, this->impl->batch.run(), [keep = this->impl](std::exception_ptr) {});
    asio::co_spawn(context, this->impl->snapshotLoop(), [keep = this->impl](std::exception_ptr) {});
}

FakeEngine::~FakeEngine()
{
    this->stop();
}

Result<Address> FakeEngine::listen(const Address &address)
{
    return this->impl->server->listen(address);
}

void FakeEngine::stop()
{
    this->impl->stopped = true;
    this->impl->batch.cancelAll();
    this->impl->batch.stop();
    this->impl->snapshotTimer.cancel();
    this->impl->server->drain();
}

const std::map<std::string, int> &FakeEngine::executions() const
{
    return this->impl->executions;
}

const EngineMemory &FakeEngine::memory() const
{
    return this->impl->memory;
}

asio::awaitable<void> FakeEngine::Impl::serve(HttpRequest request, HttpResponder &responder)
{
    while (this->faults.unresponsive && !this->stopped && !responder.isPeerGone())
        co_await pauseFor(milliseconds(20));
    if (this->faults.dead || this->stopped) {
        responder.abort();
        co_return;
    }
    const std::string path(pathOf(request.target));
    if (path == "/v1/chat/completions" || path == "/v1/completions")
        co_await this->complete(std::move(request), responder);
    else if (path.starts_with("/v1/streams/"))
        co_await this->serveStream(std::move(request), responder);
    else if (path == "/engine/report")
        co_await responder.respond(this->reportResponse());
    else if (path == "/engine/orders")
        co_await this->serveOrder(std::move(request), responder);
    else if (path.starts_with("/engine/kv/"))
        co_await responder.respond(jsonError(501, "KV transfer is not offered"));
    else
        co_await responder.respond(jsonError(404, "no such page"));
}

asio::awaitable<void> FakeEngine::Impl::complete(HttpRequest request, HttpResponder &responder)
{
    const auto body = parseObject(request.body);
    const bool chat = pathOf(request.target) == "/v1/chat/completions";
    const std::string model = textField(body, "model");
    std::string adapter(findHeader(request.headers, "X-Adapter"));
    if (adapter.empty() && model.find(':') != std::string::npos)
        adapter = model.substr(model.find(':') + 1);
    const auto version = findHeader(request.headers, "X-Model-Version");
    const bool ready = this->memory.isReady("model", baseModel(model), version) &&
                       (adapter.empty() || this->memory.isReady("adapter", adapter));
    if (!ready) {
        co_await responder.respond(jsonError(404, "the model is not ready"));
        co_return;
    }
    const auto batchRequest = std::make_shared<BatchRequest>(this->context.get_executor());
    const std::string prompt = promptOf(body);
    batchRequest->id = std::string(findHeader(request.headers, "X-Request-Id"));
    if (batchRequest->id.empty())
        batchRequest->id = toHex(newNonce());
    batchRequest->model = model;
    batchRequest->echo = prompt.substr(0, EchoBytes);
    batchRequest->priority =
        std::atoi(std::string(findHeader(request.headers, "X-Priority")).c_str());
    batchRequest->promptTokens = static_cast<uint32_t>(request.body.size() / 4);
    const auto tokenLimit =
        static_cast<uint32_t>(numberField(body, "max_tokens", DefaultMaxTokens));
    const uint32_t naturalLength = this->settings.answer_tokens();
    batchRequest->answerTokens =
        std::max(1u, naturalLength == 0 ? tokenLimit : std::min(tokenLimit, naturalLength));
    batchRequest->endsAtTokenLimit = naturalLength == 0 || naturalLength >= tokenLimit;
    batchRequest->blocks = prefixBlocks(prompt);
    ++this->executions[batchRequest->id];
    if (!this->faults.crashText.empty() &&
        request.body.find(this->faults.crashText) != std::string::npos) {
        this->crash();
        responder.abort();
        co_return;
    }
    this->batch.add(batchRequest);
    this->retainStream(batchRequest, chat);
    if (!boolField(body, "stream", false)) {
        co_await this->respondWhenFinished(batchRequest, chat, responder);
        co_return;
    }
    co_await this->streamEvents(batchRequest, chat, 0, responder);
}

void FakeEngine::Impl::retainStream(const std::shared_ptr<BatchRequest> &request, bool chat)
{
    this->streams[request->id] = request;
    this->streamOrder.push_back(request->id);
    if (chat)
        this->chatStreams.insert(request->id);
    if (this->streamOrder.size() > MaxResumableStreams) {
        this->streams.erase(this->streamOrder.front());
        this->chatStreams.erase(this->streamOrder.front());
        this->streamOrder.pop_front();
    }
}

asio::awaitable<void> FakeEngine::Impl::respondWhenFinished(std::shared_ptr<BatchRequest> request,
                                                            bool chat, HttpResponder &responder)
{
    while (!request->finished && !request->cancelled) {
        request->changed.expires_after(std::chrono::seconds(1));
        co_await request->changed.async_wait(Await);
        if (responder.isPeerGone())
            this->batch.cancel(*request);
    }
    if (request->finished && !this->faults.dead)
        co_await responder.respond(completionResponse(*request, chat));
    else
        responder.abort();
}

asio::awaitable<void> FakeEngine::Impl::streamEvents(std::shared_ptr<BatchRequest> request,
                                                     bool chat, uint32_t after,
                                                     HttpResponder &responder)
{
    request->attached = true;
    bool open = co_await responder.start(200, contentType("text/event-stream"));
    uint32_t number = after;
    while (open) {
        std::string events;
        const uint32_t available = request->generatedTokens + (request->finished ? 1 : 0);
        while (number < available) {
            ++number;
            events += "id: " + std::to_string(number) +
                      "\ndata: " + eventData(*request, chat, number) + "\n\n";
        }
        const bool isComplete = request->finished;
        if (isComplete)
            events += "data: [DONE]\n\n";
        if (!events.empty())
            open = co_await responder.write(std::move(events));
        if (open && isComplete) {
            co_await responder.finish();
            co_return;
        }
        if (request->cancelled || this->faults.dead)
            break;
        if (number >= request->generatedTokens && !request->finished) {
            request->changed.expires_after(std::chrono::seconds(1));
            co_await request->changed.async_wait(Await);
        }
        open = open && !responder.isPeerGone();
    }
    request->attached = false;
    request->detachedAt = std::chrono::steady_clock::now();
    responder.abort();
}

asio::awaitable<void> FakeEngine::Impl::serveStream(HttpRequest request, HttpResponder &responder)
{
    const auto id =
        percentDecode(pathOf(request.target).substr(std::string_view("/v1/streams/").size()))
            .value_or("");
    if (request.method == "DELETE") {
        const auto found = this->streams.find(id);
        if (found != this->streams.end())
            this->batch.cancel(*found->second);
        co_await responder.respond(jsonResponse(200, json::object{}));
        co_return;
    }
    const auto found = this->streams.find(id);
    if (found == this->streams.end() || found->second->cancelled) {
        co_await responder.respond(jsonError(404, "no such stream"));
        co_return;
    }
    const auto batchRequest = found->second;
    const auto after =
        static_cast<uint32_t>(std::atoi(queryParameter(request.target, "after").c_str()));
    co_await this->streamEvents(batchRequest, this->chatStreams.contains(id), after, responder);
}

} // namespace tray::fakes
