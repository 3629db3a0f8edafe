// Calls the platform's instance list, and parses and formats its entries.
#include "edge/HttpInstanceSource.h"

#include "net/JsonParts.h"
#include "net/UriEncoding.h"

#include <boost/json.hpp>

namespace tray {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

std::string textField(const json::object &object, std::string_view key)
{
    const auto *field = object.if_contains(key);
    return field != nullptr && field->is_string() ? std::string(field->as_string()) : std::string();
}

Result<proto::InstanceList> parseList(const std::string &body)
{
    const auto parsed = parseJsonParts(body);
    const auto *object = isOk(parsed) ? value(parsed).if_object() : nullptr;
    const auto *rows = object == nullptr ? nullptr : object->if_contains("instances");
    const auto *revision = object == nullptr ? nullptr : object->if_contains("revision");
    if (rows == nullptr || !rows->is_array() || revision == nullptr || !revision->is_number())
        return Error{ErrorKind::PlatformUnavailable, "instance list: answer is not valid"};
    proto::InstanceList list;
    boost::system::error_code ignored;
    list.set_revision(revision->to_number<uint64_t>(ignored));
    for (const auto &row : rows->as_array()) {
        if (!row.is_object())
            continue;
        const auto &fields = row.as_object();
        auto &entry = *list.add_instances();
        entry.set_id(textField(fields, "id"));
        entry.set_role(textField(fields, "role"));
        entry.set_data_centre(textField(fields, "data_centre"));
        entry.set_region(textField(fields, "region"));
        entry.set_leaving(textField(fields, "state") == "leaving");
        entry.set_control_address(textField(fields, "control"));
        entry.set_data_address(textField(fields, "data"));
        entry.set_upstream(textField(fields, "upstream"));
    }
    return list;
}

std::string instancePath(std::string_view id)
{
    return "/v1/instances/" + percentEncode(id);
}

HttpRequest makeAddRequest(const proto::InstanceEntry &entry)
{
    json::object body;
    body["id"] = entry.id();
    body["role"] = entry.role();
    body["data_centre"] = entry.data_centre();
    body["region"] = entry.region();
    body["state"] = entry.leaving() ? "leaving" : "live";
    body["control"] = entry.control_address();
    body["data"] = entry.data_address();
    body["upstream"] = entry.upstream();
    HttpRequest request;
    request.method = "PUT";
    request.target = instancePath(entry.id());
    request.headers = contentType("application/json");
    request.body = json::serialize(body);
    return request;
}

} // namespace

HttpInstanceSource::HttpInstanceSource(HttpClient &client, Address address, Duration timeout,
                                       Metrics &metrics)
    : client(client), address(std::move(address)), timeout(timeout),
      calls(metrics.counter("tray_platform_calls", "call=\"instances\""))
{}

asio::awaitable<Result<proto::InstanceList>> HttpInstanceSource::read()
{
    this->calls.add();
    HttpRequest request;
    request.target = "/v1/instances";
    const auto answer =
        co_await this->client.request(this->address, std::move(request), this->timeout);
    if (!isOk(answer))
        co_return Error{ErrorKind::PlatformUnavailable, error(answer).message};
    if (value(answer).status != 200)
        co_return Error{ErrorKind::PlatformUnavailable,
                        "instance list: status " + std::to_string(value(answer).status)};
    co_return parseList(value(answer).body);
}

asio::awaitable<Result<Unit>> HttpInstanceSource::add(proto::InstanceEntry entry)
{
    return this->sendChange(makeAddRequest(entry));
}

asio::awaitable<Result<Unit>> HttpInstanceSource::remove(std::string id)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = instancePath(id);
    return this->sendChange(std::move(request));
}

asio::awaitable<Result<Unit>> HttpInstanceSource::sendChange(HttpRequest request)
{
    this->calls.add();
    const auto answer =
        co_await this->client.request(this->address, std::move(request), this->timeout);
    if (!isOk(answer))
        co_return Error{ErrorKind::PlatformUnavailable, error(answer).message};
    const int status = value(answer).status;
    // Status 404: the entry does not exist any more, so there is nothing to remove.
    if (status != 404 && (status < 200 || status > 299))
        co_return Error{ErrorKind::PlatformUnavailable,
                        "instance list: status " + std::to_string(status)};
    co_return Unit{};
}

} // namespace tray
