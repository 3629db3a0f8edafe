// Implements the calls of the store's HTTP interface that the system uses.
#include "StubStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

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

asio::awaitable<void> StubStore::send(HttpResponder &responder, HttpResponse response)
{
    response.headers.emplace_back("Store-Era", std::to_string(this->era));
    co_await responder.respond(std::move(response));
}

HttpResponse StubStore::list(const std::string &kind, const std::string &target) const
{
    json::array items;
    const auto found = this->kinds.find(kind);
    bool more = false;
    if (found != this->kinds.end()) {
        auto it = found->second.upper_bound(queryParameter(target, "after"));
        for (; it != found->second.end(); ++it) {
            if (items.size() == this->pageSize) {
                more = true;
                break;
            }
            items.push_back(it->second);
        }
    }
    auto response =
        answer(200, {{"items", items}, {"more", more}, {"current_rev", this->revision}});
    replacePlaceholders(response.body, this->placeholders);
    return response;
}

HttpResponse StubStore::write(const std::string &kind, const std::string &name,
                              const HttpRequest &request)
{
    const json::value body = json::parse(request.body);
    const std::string target =
        name.empty() ? std::string(body.at("metadata").at("name").as_string()) : name;
    auto &objects = this->kinds[kind];
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
    this->store(kind, target, body.at("spec"));
    return answer(200, objects.at(target));
}

asio::awaitable<void> StubStore::waitForever()
{
    // Longer than the duration of any test.
    asio::steady_timer timer(this->context, std::chrono::minutes(10));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StubStore::watch(const std::string &kind, HttpRequest request,
                                       HttpResponder &responder)
{
    const uint64_t since = std::stoull(queryParameter(request.target, "watch"));
    const auto end = std::chrono::steady_clock::now() +
                     milliseconds(std::stoi(queryParameter(request.target, "wait_ms")));
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
    const std::string path(pathOf(request.target));
    const std::string rest = path.substr(std::string("/v1/objects/").size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    ++this->requestsByKind[kind];
    HttpResponse response;
    if (this->neverRespond)
        co_await this->waitForever();
    if (this->respond503 || this->failingKinds.contains(kind)) {
        response = makeResponse(503, "text/plain", "");
    } else if (request.method != "GET") {
        response = this->write(kind, name, request);
    } else if (!queryParameter(request.target, "watch").empty()) {
        co_await this->watch(kind, std::move(request), responder);
        co_return;
    } else if (name.empty()) {
        if (this->beforeList)
            this->beforeList();
        response = this->list(kind, request.target);
    } else {
        const auto &objects = this->kinds[kind];
        const auto found = objects.find(name);
        response = found == objects.end() ? answer(404, {{"error", "no such object"}})
                                          : answer(200, found->second);
    }
    co_await this->send(responder, std::move(response));
}

} // namespace tray::test
