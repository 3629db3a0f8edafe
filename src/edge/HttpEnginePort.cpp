// Sends the engine's HTTP requests, and parses and formats their JSON bodies.
#include "edge/HttpEnginePort.h"

#include "net/UriEncoding.h"

#include <boost/json.hpp>

namespace tray {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Returns the options of calls that have an effect: the engine's answers name no call.
HttpCallOptions exclusiveCall()
{
    HttpCallOptions options;
    options.exclusive = true;
    return options;
}

uint64_t numberField(const json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    json::error_code code;
    if (found == nullptr)
        return 0;
    const auto number = found->to_number<uint64_t>(code);
    return code ? 0 : number;
}

std::string textField(const json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

Error unexpectedStatus(const HttpResponse &response, const std::string &what)
{
    return Error{ErrorKind::UpstreamFailed,
                 "the engine answered " + what + " with status " + std::to_string(response.status)};
}

} // namespace

Result<EngineStatus> parseEngineStatus(const std::string &text)
{
    json::error_code code;
    const auto parsed = json::parse(text, code);
    if (code || !parsed.is_object())
        return Error{ErrorKind::UpstreamFailed, "the engine's report is not a JSON object"};
    const auto &object = parsed.as_object();
    EngineStatus status;
    status.sequence = numberField(object, "sequence");
    status.fencing = numberField(object, "fencing");
    status.memoryBytes = numberField(object, "memory_bytes");
    status.kvBytesUsed = numberField(object, "kv_bytes_used");
    status.kvBytesLimit = numberField(object, "kv_bytes_limit");
    status.running = static_cast<uint32_t>(numberField(object, "running"));
    status.waiting = static_cast<uint32_t>(numberField(object, "waiting"));
    status.overcommitted = numberField(object, "overcommitted");
    status.role = textField(object, "role");
    const auto *items = object.if_contains("items");
    if (items == nullptr || !items->is_array())
        return Error{ErrorKind::UpstreamFailed, "the engine's report has no list of items"};
    for (const auto &entry : items->as_array()) {
        if (!entry.is_object())
            continue;
        const auto &fields = entry.as_object();
        const auto kind = enumFromName<ItemKind>(textField(fields, "kind"));
        const auto state = enumFromName<ItemState>(textField(fields, "state"));
        // An item of an unknown kind or state still occupies memory, so it is not left out.
        EngineItem item;
        item.key = {kind.value_or(ItemKind::Model), textField(fields, "name"),
                    textField(fields, "version")};
        item.bytes = numberField(fields, "bytes");
        item.state = state.value_or(ItemState::Loading);
        status.items.push_back(std::move(item));
    }
    return status;
}

std::string formatEngineCommand(const EngineCommand &command)
{
    json::object body;
    body["order_id"] = command.id;
    body["fencing"] = command.fencing;
    body["action"] = enumName(command.action);
    body["kind"] = enumName(command.key.kind);
    body["name"] = command.key.name;
    body["version"] = command.key.version;
    body["bytes"] = command.bytes;
    body["base"] = command.base;
    return json::serialize(body);
}

HttpEnginePort::HttpEnginePort(asio::io_context &context, Address address)
    : client(context), address(std::move(address))
{}

asio::awaitable<Result<EngineStatus>> HttpEnginePort::fetchStatus(Duration timeout)
{
    HttpRequest request;
    request.target = "/engine/report";
    auto answer = co_await this->client.request(this->address, std::move(request), timeout);
    if (!isOk(answer))
        co_return error(answer);
    if (value(answer).status != 200)
        co_return unexpectedStatus(value(answer), "a report");
    co_return parseEngineStatus(value(answer).body);
}

asio::awaitable<Result<uint64_t>> HttpEnginePort::sendCommand(EngineCommand command,
                                                              Duration timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/engine/orders";
    request.headers = contentType("application/json");
    request.body = formatEngineCommand(command);
    const auto options = exclusiveCall();
    auto answer =
        co_await this->client.request(this->address, std::move(request), timeout, options);
    if (!isOk(answer))
        co_return error(answer);
    if (value(answer).status == 409)
        co_return Error{ErrorKind::Stale, "the engine has seen a newer fencing token"};
    if (value(answer).status != 202)
        co_return unexpectedStatus(value(answer), "an order");
    json::error_code code;
    const auto parsed = json::parse(value(answer).body, code);
    if (code || !parsed.is_object())
        co_return Error{ErrorKind::UpstreamFailed, "the engine's answer is not a JSON object"};
    co_return numberField(parsed.as_object(), "sequence");
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> HttpEnginePort::open(HttpRequest request,
                                                                          Duration timeout)
{
    return this->client.open(this->address, std::move(request), timeout, exclusiveCall());
}

asio::awaitable<Result<Unit>> HttpEnginePort::cancel(std::string requestId, Duration timeout)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/streams/" + percentEncode(requestId);
    const auto options = exclusiveCall();
    auto answer =
        co_await this->client.request(this->address, std::move(request), timeout, options);
    if (!isOk(answer))
        co_return error(answer);
    if (value(answer).status != 200 && value(answer).status != 404)
        co_return unexpectedStatus(value(answer), "a cancellation");
    co_return Unit{};
}

} // namespace tray
