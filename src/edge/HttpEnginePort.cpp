// Engine protocol over HTTP and JSON.
#include "edge/HttpEnginePort.h"

#include <boost/json.hpp>

namespace tray {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

uint64_t numberOf(const json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    json::error_code code;
    if (found == nullptr)
        return 0;
    const auto number = found->to_number<uint64_t>(code);
    return code ? 0 : number;
}

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *found = object.if_contains(key);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

Error unexpected(const HttpResponse &response, const std::string &what)
{
    return Error{ErrorKind::UpstreamFailed,
                 "the engine answered " + what + " with status " + std::to_string(response.status)};
}

} // namespace

Result<EngineReport> parseEngineReport(const std::string &text)
{
    json::error_code code;
    const auto parsed = json::parse(text, code);
    if (code || !parsed.is_object())
        return Error{ErrorKind::UpstreamFailed, "the engine's report is not a JSON object"};
    const auto &object = parsed.as_object();
    EngineReport report;
    report.sequence = numberOf(object, "sequence");
    report.fencing = numberOf(object, "fencing");
    report.memoryBytes = numberOf(object, "memory_bytes");
    report.kvBytesUsed = numberOf(object, "kv_bytes_used");
    report.kvBytesLimit = numberOf(object, "kv_bytes_limit");
    report.running = static_cast<uint32_t>(numberOf(object, "running"));
    report.waiting = static_cast<uint32_t>(numberOf(object, "waiting"));
    report.overcommitted = numberOf(object, "overcommitted");
    report.role = textOf(object, "role");
    const auto *items = object.if_contains("items");
    if (items == nullptr || !items->is_array())
        return Error{ErrorKind::UpstreamFailed, "the engine's report has no list of items"};
    for (const auto &entry : items->as_array()) {
        if (!entry.is_object())
            continue;
        const auto &fields = entry.as_object();
        const auto kind = enumFromName<ItemKind>(textOf(fields, "kind"));
        const auto state = enumFromName<ItemState>(textOf(fields, "state"));
        // An item that is not understood takes memory all the same.
        EngineItem item;
        item.key = {kind.value_or(ItemKind::Model), textOf(fields, "name"),
                    textOf(fields, "version")};
        item.bytes = numberOf(fields, "bytes");
        item.state = state.value_or(ItemState::Loading);
        report.items.push_back(std::move(item));
    }
    return report;
}

std::string formatEngineOrder(const EngineOrder &order)
{
    json::object body;
    body["order_id"] = order.id;
    body["fencing"] = order.fencing;
    body["action"] = enumName(order.action);
    body["kind"] = enumName(order.key.kind);
    body["name"] = order.key.name;
    body["version"] = order.key.version;
    body["bytes"] = order.bytes;
    body["base"] = order.base;
    return json::serialize(body);
}

HttpEnginePort::HttpEnginePort(asio::io_context &context, Address address)
    : client(context), address(std::move(address))
{}

asio::awaitable<Result<EngineReport>> HttpEnginePort::report(Duration timeout)
{
    HttpRequest request;
    request.target = "/engine/report";
    auto answer = co_await this->client.request(this->address, std::move(request), timeout);
    if (!isOk(answer))
        co_return error(answer);
    if (value(answer).status != 200)
        co_return unexpected(value(answer), "a report");
    co_return parseEngineReport(value(answer).body);
}

asio::awaitable<Result<uint64_t>> HttpEnginePort::order(EngineOrder order, Duration timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/engine/orders";
    request.headers = contentType("application/json");
    request.body = formatEngineOrder(order);
    auto answer = co_await this->client.request(this->address, std::move(request), timeout);
    if (!isOk(answer))
        co_return error(answer);
    if (value(answer).status == 409)
        co_return Error{ErrorKind::Stale, "the engine has seen a newer fencing token"};
    if (value(answer).status != 202)
        co_return unexpected(value(answer), "an order");
    json::error_code code;
    const auto parsed = json::parse(value(answer).body, code);
    if (code || !parsed.is_object())
        co_return Error{ErrorKind::UpstreamFailed, "the engine's answer is not a JSON object"};
    co_return numberOf(parsed.as_object(), "sequence");
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> HttpEnginePort::open(HttpRequest request,
                                                                          Duration timeout)
{
    return this->client.open(this->address, std::move(request), timeout);
}

asio::awaitable<Result<Unit>> HttpEnginePort::cancel(std::string requestId, Duration timeout)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/streams/" + requestId;
    auto answer = co_await this->client.request(this->address, std::move(request), timeout);
    if (!isOk(answer))
        co_return error(answer);
    if (value(answer).status != 200 && value(answer).status != 404)
        co_return unexpected(value(answer), "a cancellation");
    co_return Unit{};
}

} // namespace tray
