// Implements the calls of the store's HTTP interface that the system uses.
#include "StubStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cctype>

namespace tray::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

HttpResponse answer(int status, const json::value &body)
{
    return makeResponse(status, "application/json", json::serialize(body));
}

/// Replaces each placeholder, which stands for a JSON string, by its text.
void replacePlaceholders(std::string &body, const std::map<std::string, std::string> &texts)
{
    for (const auto &[placeholder, text] : texts) {
        const std::string quoted = "\"" + placeholder + "\"";
        for (auto at = body.find(quoted); at != std::string::npos; at = body.find(quoted, at))
            body.replace(at, quoted.size(), text);
    }
}

/// Decodes a component of a target by its own rules, so that a fault of the encoder does not cancel
/// out; nullopt if it is not encoded as it must be.
std::optional<std::string> decodeComponent(std::string_view text, bool isQuery)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        if (byte <= ' ' || byte >= 0x7f ||
            std::string_view("\"#<>[\\]^`{|}").find(text[i]) != std::string_view::npos)
            return std::nullopt;
        if (text[i] == '+' && isQuery) {
            decoded += ' ';
            continue;
        }
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size() || std::isxdigit(static_cast<unsigned char>(text[i + 1])) == 0 ||
            std::isxdigit(static_cast<unsigned char>(text[i + 2])) == 0)
            return std::nullopt;
        decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
        i += 2;
    }
    return decoded;
}

uint64_t revisionOf(const json::value &object)
{
    return object.at("metadata").at("revision").to_number<uint64_t>();
}

} // namespace

StubStore::StubStore(asio::io_context &context)
    : context(context), server(context, [this](HttpRequest request, HttpResponder &responder) {
          return this->serve(std::move(request), responder);
      })
{}

Address StubStore::listen()
{
    return value(this->server.listen({"127.0.0.1", 0}));
}

void StubStore::put(const std::string &kind, const std::string &name, const std::string &specJson)
{
    this->store(kind, name, json::parse(specJson));
}

void StubStore::store(const std::string &kind, const std::string &name, json::value spec)
{
    json::object metadata;
    metadata["name"] = name;
    metadata["revision"] = ++this->revision;
    json::object object;
    object["metadata"] = metadata;
    object["spec"] = std::move(spec);
    object["status"] = nullptr;
    this->kinds[kind][name] = object;
    this->changes.push_back({this->revision, kind, false, object});
}

void StubStore::remove(const std::string &kind, const std::string &name)
{
    const json::value object = this->kinds[kind].at(name);
    this->kinds[kind].erase(name);
    this->changes.push_back({++this->revision, kind, true, object});
}

void StubStore::restore(const Copy &copy)
{
    this->kinds = copy.kinds;
    this->revision = copy.revision;
    this->changes.clear();
    this->oldestRevision = copy.revision;
    ++this->era;
}

std::string StubStore::specOf(const std::string &kind, const std::string &name) const
{
    const auto objects = this->kinds.find(kind);
    if (objects == this->kinds.end())
        return "";
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? "" : json::serialize(found->second.at("spec"));
}

size_t StubStore::countOf(const std::string &kind) const
{
    const auto objects = this->kinds.find(kind);
    return objects == this->kinds.end() ? 0 : objects->second.size();
}

asio::awaitable<void> StubStore::send(HttpResponder &responder, HttpResponse response)
{
    response.headers.emplace_back("Store-Era", std::to_string(this->era));
    co_await responder.respond(std::move(response));
}

std::optional<StubStore::Call> StubStore::parseCall(std::string_view target)
{
    constexpr std::string_view Objects = "/v1/objects/";
    const auto question = target.find('?');
    auto path = target.substr(0, question);
    if (!path.starts_with(Objects))
        return std::nullopt;
    path.remove_prefix(Objects.size());
    const auto slash = path.find('/');
    const auto kind = decodeComponent(path.substr(0, slash), false);
    if (!kind)
        return std::nullopt;
    Call call{*kind, "", {}};
    if (slash != std::string_view::npos) {
        const auto name = path.substr(slash + 1);
        const auto decoded = decodeComponent(name, false);
        if (!decoded || decoded->empty() || name.find('/') != std::string_view::npos)
            return std::nullopt;
        call.name = *decoded;
    }
    auto query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty()) {
        const auto parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        const auto equals = std::min(parameter.find('='), parameter.size());
        const auto key = decodeComponent(parameter.substr(0, equals), true);
        const auto text =
            decodeComponent(parameter.substr(std::min(equals + 1, parameter.size())), true);
        if (!key || !text)
            return std::nullopt;
        call.query[*key] = *text;
    }
    return call;
}

HttpResponse StubStore::reject(std::string what)
{
    this->badRequests.push_back(std::move(what));
    return answer(400, {{"error", "not a valid request"}});
}

HttpResponse StubStore::list(const Call &call) const
{
    json::array items;
    const auto found = this->kinds.find(call.kind);
    const auto after = call.query.find("after");
    bool more = false;
    if (found != this->kinds.end()) {
        auto it = found->second.upper_bound(after == call.query.end() ? "" : after->second);
        for (; it != found->second.end(); ++it) {
            if (items.size() == this->pageSize) {
                more = true;
                break;
            }
            items.push_back(it->second);
        }
    }
    auto response = answer(200, {{"items", items},
                                 {"more", this->more.value_or(json::value(more))},
                                 {"current_rev", this->revision}});
    replacePlaceholders(response.body, this->placeholders);
    return response;
}

HttpResponse StubStore::write(const Call &call, const HttpRequest &request)
{
    const json::value body = json::parse(request.body);
    const std::string target =
        call.name.empty() ? std::string(body.at("metadata").at("name").as_string()) : call.name;
    if (target.empty() || this->refusedNames.contains(target))
        return this->reject(call.kind + " named " + target);
    auto &objects = this->kinds[call.kind];
    const auto found = objects.find(target);
    if (request.method == "POST" && found != objects.end())
        return answer(409, found->second);
    if (request.method == "PUT") {
        if (found == objects.end())
            return answer(404, {{"error", "no such object"}});
        const auto *wanted = body.at("metadata").as_object().if_contains("revision");
        if (wanted != nullptr && wanted->to_number<uint64_t>() != revisionOf(found->second))
            return answer(409, found->second);
    }
    this->store(call.kind, target, body.at("spec"));
    return answer(200, objects.at(target));
}

asio::awaitable<void> StubStore::waitForever()
{
    // Longer than the duration of any test.
    asio::steady_timer timer(this->context, std::chrono::minutes(10));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StubStore::watch(Call call, HttpResponder &responder)
{
    const std::string &kind = call.kind;
    const uint64_t since = std::stoull(call.query["watch"]);
    const auto end =
        std::chrono::steady_clock::now() + milliseconds(std::stoi(call.query["wait_ms"]));
    const uint64_t begunInEra = this->era;
    const int cutsBefore = this->cutCounts[kind];
    while (true) {
        if (this->neverRespond)
            co_await this->waitForever();
        const bool isRestored = this->era != begunInEra && !this->keepsWatches;
        if (isRestored || this->cutCounts[kind] != cutsBefore) {
            responder.abort();
            co_return;
        }
        const bool isKept = this->era != begunInEra;
        if (!isKept && (since < this->oldestRevision || since > this->revision)) {
            HttpResponse gone = answer(410, {{"error", "that history is gone"}});
            co_await this->send(responder, std::move(gone));
            co_return;
        }
        json::array events;
        for (const auto &change : this->changes) {
            if (change.revision > since && change.kind == kind)
                events.push_back({{"removed", change.removed}, {"object", change.object}});
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end) {
            if (auto &lost = this->lostWatchAnswers[kind]; lost > 0) {
                --lost;
                co_await this->waitForever();
            }
            HttpResponse changed =
                answer(200, {{"events", events}, {"current_rev", this->revision}});
            replacePlaceholders(changed.body, this->placeholders);
            co_await this->send(responder, std::move(changed));
            co_return;
        }
        asio::steady_timer timer(this->context, milliseconds(5));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> StubStore::serve(HttpRequest request, HttpResponder &responder)
{
    ++this->requestCount;
    const auto parsed = parseCall(request.target);
    if (!parsed) {
        HttpResponse refusal = this->reject(request.target);
        co_await this->send(responder, std::move(refusal));
        co_return;
    }
    const Call &call = *parsed;
    ++this->requestsByKind[call.kind];
    HttpResponse response;
    if (this->neverRespond)
        co_await this->waitForever();
    if (this->overRate > 0) {
        --this->overRate;
        response = makeResponse(429, "text/plain", "");
    } else if (this->respond503 || this->failingKinds.contains(call.kind)) {
        response = makeResponse(503, "text/plain", "");
    } else if (request.method != "GET") {
        response = this->write(call, request);
    } else if (call.query.contains("watch")) {
        co_await this->watch(call, responder);
        co_return;
    } else if (call.name.empty()) {
        if (this->beforeList)
            this->beforeList();
        response = this->list(call);
    } else {
        const auto &objects = this->kinds[call.kind];
        const auto found = objects.find(call.name);
        response = found == objects.end() ? answer(404, {{"error", "no such object"}})
                                          : answer(200, found->second);
    }
    co_await this->send(responder, std::move(response));
}

} // namespace tray::test
