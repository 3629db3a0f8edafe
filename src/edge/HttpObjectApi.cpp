// Sends the requests of the object API and maps HTTP statuses and failures to error kinds.
#include "edge/HttpObjectApi.h"

#include "net/JsonParts.h"
#include "net/UriEncoding.h"

#include <boost/json.hpp>
#include <charconv>

namespace tray {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

std::string objectPath(std::string_view key)
{
    return "/v1/objects/" + percentEncodePath(key);
}

HttpRequest makeRequest(std::string method, std::string target)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    return request;
}

std::string formatEtag(uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

uint64_t parseEtag(const HttpHeaders &headers)
{
    auto text = findHeader(headers, "ETag");
    if (text.size() >= 2 && text.front() == '"')
        text = text.substr(1, text.size() - 2);
    uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

/// Whether a failed call may have had an effect.
enum class Effect { None, Possible };

Error transportError(const Error &reason, Effect effect)
{
    const bool isOutcomeUnknown =
        effect == Effect::Possible && reason.kind != ErrorKind::UpstreamUnreachable;
    return {isOutcomeUnknown ? ErrorKind::OutcomeUnknown : ErrorKind::PlatformUnavailable,
            "object API: " + reason.message};
}

Error statusError(int status, Effect effect, const std::string &subject)
{
    ErrorKind kind = ErrorKind::PlatformUnavailable;
    if (status == 404)
        kind = ErrorKind::NotFound;
    else if (status == 410)
        kind = ErrorKind::Stale;
    else if (status == 412)
        kind = ErrorKind::VersionConflict;
    else if (status == 413)
        kind = ErrorKind::BodyTooLarge;
    else if (status == 429)
        kind = ErrorKind::Overloaded;
    else if (status >= 400 && status < 500)
        kind = ErrorKind::BadRequest;
    else if (status != 503 && effect == Effect::Possible)
        kind = ErrorKind::OutcomeUnknown;
    return {kind, subject + ": status " + std::to_string(status)};
}

uint64_t numberField(const json::object &object, std::string_view key)
{
    const auto *field = object.if_contains(key);
    if (field == nullptr || !field->is_number())
        return 0;
    boost::system::error_code ignored;
    return field->to_number<uint64_t>(ignored);
}

Result<ObjectChanges> parseChanges(const std::string &body, std::string_view field)
{
    const auto parsed = parseJsonParts(body);
    if (!isOk(parsed) || !value(parsed).is_object())
        return Error{ErrorKind::PlatformUnavailable, "object API: answer is not JSON"};
    const auto &object = value(parsed).as_object();
    ObjectChanges out;
    out.revision = numberField(object, "revision");
    const auto *rows = object.if_contains(field);
    if (rows == nullptr || !rows->is_array())
        return Error{ErrorKind::PlatformUnavailable, "object API: answer without changes"};
    for (const auto &row : rows->as_array()) {
        if (!row.is_object())
            continue;
        const auto *key = row.as_object().if_contains("key");
        const auto *deleted = row.as_object().if_contains("deleted");
        if (key == nullptr || !key->is_string())
            continue;
        ObjectChange change;
        change.key = std::string(key->as_string());
        change.version = numberField(row.as_object(), "version");
        change.deleted = deleted != nullptr && deleted->is_bool() && deleted->as_bool();
        out.changes.push_back(std::move(change));
    }
    return out;
}

} // namespace

HttpObjectApi::HttpObjectApi(HttpClient &client, Address address, Duration timeout,
                             Metrics &metrics)
    : client(client), address(std::move(address)), timeout(timeout),
      reads(metrics.counter("tray_platform_calls", "call=\"read\"")),
      writes(metrics.counter("tray_platform_calls", "call=\"write\"")),
      watches(metrics.counter("tray_platform_calls", "call=\"watch\"")),
      failures(metrics.counter("tray_platform_failures"))
{}

asio::awaitable<Result<ObjectValue>> HttpObjectApi::read(std::string key)
{
    this->reads.add();
    auto request = makeRequest("GET", objectPath(key));
    const auto answer =
        co_await this->client.request(this->address, std::move(request), this->timeout);
    if (!isOk(answer)) {
        this->failures.add();
        co_return transportError(error(answer), Effect::None);
    }
    const auto &response = value(answer);
    if (response.status != 200)
        co_return statusError(response.status, Effect::None, key);
    ObjectValue found;
    found.value = response.body;
    found.version = parseEtag(response.headers);
    co_return found;
}

asio::awaitable<Result<uint64_t>> HttpObjectApi::write(std::string key, std::string value,
                                                       uint64_t expectedVersion)
{
    this->writes.add();
    auto request = makeRequest("PUT", objectPath(key));
    if (expectedVersion == 0)
        request.headers.emplace_back("If-None-Match", "*");
    else
        request.headers.emplace_back("If-Match", formatEtag(expectedVersion));
    request.body = std::move(value);
    const auto answer =
        co_await this->client.request(this->address, std::move(request), this->timeout);
    if (!isOk(answer)) {
        this->failures.add();
        co_return transportError(error(answer), Effect::Possible);
    }
    const auto &response = tray::value(answer);
    if (response.status != 200 && response.status != 201)
        co_return statusError(response.status, Effect::Possible, key);
    co_return parseEtag(response.headers);
}

asio::awaitable<Result<Unit>> HttpObjectApi::remove(std::string key, uint64_t expectedVersion)
{
    this->writes.add();
    auto request = makeRequest("DELETE", objectPath(key));
    request.headers.emplace_back("If-Match", formatEtag(expectedVersion));
    const auto answer =
        co_await this->client.request(this->address, std::move(request), this->timeout);
    if (!isOk(answer)) {
        this->failures.add();
        co_return transportError(error(answer), Effect::Possible);
    }
    const int status = value(answer).status;
    if (status < 200 || status > 299)
        co_return statusError(status, Effect::Possible, key);
    co_return Unit{};
}

asio::awaitable<Result<ObjectChanges>> HttpObjectApi::list(std::string prefix)
{
    this->reads.add();
    auto request = makeRequest("GET", withQuery("/v1/list", {{"prefix", prefix}}));
    const auto answer =
        co_await this->client.request(this->address, std::move(request), this->timeout);
    if (!isOk(answer)) {
        this->failures.add();
        co_return transportError(error(answer), Effect::None);
    }
    if (value(answer).status != 200)
        co_return statusError(value(answer).status, Effect::None, prefix);
    co_return parseChanges(value(answer).body, "objects");
}

asio::awaitable<Result<ObjectChanges>> HttpObjectApi::watch(std::string prefix, uint64_t after,
                                                            Duration timeout)
{
    this->watches.add();
    auto request =
        makeRequest("GET", withQuery("/v1/watch", {{"prefix", prefix},
                                                   {"after", std::to_string(after)},
                                                   {"timeout_ms", std::to_string(toMs(timeout))}}));
    const auto answer =
        co_await this->client.request(this->address, std::move(request), timeout + this->timeout);
    if (!isOk(answer)) {
        this->failures.add();
        co_return transportError(error(answer), Effect::None);
    }
    if (value(answer).status != 200)
        co_return statusError(value(answer).status, Effect::None, prefix);
    co_return parseChanges(value(answer).body, "changes");
}

} // namespace tray
