// HTTP/JSON protocol and faults of the platform stand-in.
#include "FakePlatform.h"

#include "PlatformInstances.h"
#include "PlatformStore.h"
#include "net/UriEncoding.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <random>

namespace tray {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr size_t MaxObjectBytes = 1000000;
constexpr auto WatchCheckInterval = milliseconds(10);
constexpr Duration MaxWatchTimeout = std::chrono::seconds(60);
// Real platforms remove an instance only after several failed checks in a row, which makes their
// list lag.
constexpr int FailedProbesBeforeRemoval = 3;
constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Token bucket of a rate limit.
class RateLimit
{
public:
    void setRate(double perSecond) { this->rate = perSecond; }

    bool tryConsume(Instant now)
    {
        if (this->rate <= 0)
            return true;
        const double burst = std::max(1.0, this->rate / 5);
        const auto elapsed = std::chrono::duration<double>(now - this->lastRefillAt).count();
        this->tokens = std::min(burst, this->tokens + elapsed * this->rate);
        this->lastRefillAt = now;
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    double rate = 0;
    double tokens = 0;
    Instant lastRefillAt{};
};

asio::awaitable<void> pause(Duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(Await);
}

HttpResponse messageResponse(int status, const std::string &message)
{
    json::object body;
    body["error"] = message;
    return makeResponse(status, "application/json", json::serialize(body));
}

HttpResponse jsonResponse(const json::object &body)
{
    return makeResponse(200, "application/json", json::serialize(body));
}

/// Parses a number, with or without quotes, such as that of an ETag; 0 if there is none.
uint64_t parseNumber(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"')
        text = text.substr(1, text.size() - 2);
    uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

json::array toJson(const std::vector<PlatformStore::Change> &rows, bool withDeleted)
{
    json::array out;
    for (const auto &row : rows) {
        json::object item;
        item["key"] = row.key;
        item["version"] = row.version;
        if (withDeleted)
            item["deleted"] = row.deleted;
        out.push_back(std::move(item));
    }
    return out;
}

std::string textField(const json::object &object, std::string_view key)
{
    const auto *field = object.if_contains(key);
    return field != nullptr && field->is_string() ? std::string(field->as_string()) : std::string();
}

} // namespace

struct FakePlatform::Impl : std::enable_shared_from_this<FakePlatform::Impl>
{
    Impl(asio::io_context &context, const proto::FakePlatformSection &settings)
        : context(context), settings(settings)
    {
        this->readLimit.setRate(settings.reads_per_second());
        this->writeLimit.setRate(settings.writes_per_second());
    }

    asio::io_context &context;
    proto::FakePlatformSection settings;
    std::vector<std::unique_ptr<HttpServer>> servers;

    mutable std::mutex mutex;
    PlatformStore store;
    PlatformInstances instances;
    std::map<std::string, int> failedProbes;
    RateLimit readLimit;
    RateLimit writeLimit;
    std::map<std::string, bool> cutListeners;
    std::map<std::string, uint64_t> callCounts;
    bool outage = false;
    bool unresponsive = false;
    Instant outageUntil{};
    uint64_t lostAnswers = 0;
    double lostAnswerPercent = 0;
    std::minstd_rand random{1};

    /// Counts the call and returns the HTTP status with which a fault or the rate limit refuses it;
    /// 0 if it is not refused.
    int refusalStatus(const std::string &listener, bool write, Instant now)
    {
        const std::lock_guard lock(this->mutex);
        ++this->callCounts[write ? "writes" : "reads"];
        if (this->outage || now < this->outageUntil || this->cutListeners[listener]) {
            ++this->callCounts["refused_outage"];
            return 503;
        }
        if (!(write ? this->writeLimit : this->readLimit).tryConsume(now)) {
            ++this->callCounts["refused_rate"];
            return 429;
        }
        return 0;
    }

    /// Decides whether the response to a write that took effect is dropped.
    bool shouldLoseAnswer()
    {
        const std::lock_guard lock(this->mutex);
        bool isLost =
            std::uniform_real_distribution<>(0, 100)(this->random) < this->lostAnswerPercent;
        if (this->lostAnswers > 0) {
            --this->lostAnswers;
            isLost = true;
        }
        if (isLost)
            ++this->callCounts["lost_answers"];
        return isLost;
    }

    asio::awaitable<void> serve(std::string listener, HttpRequest request, HttpResponder &responder)
    {
        bool isUnresponsive = false;
        uint32_t latency = 0;
        {
            const std::lock_guard lock(this->mutex);
            isUnresponsive = this->unresponsive;
            latency = this->settings.latency_ms();
        }
        if (latency > 0)
            co_await pause(milliseconds(latency));
        while (isUnresponsive && !responder.isPeerGone()) {
            co_await pause(WatchCheckInterval * 5);
            const std::lock_guard lock(this->mutex);
            isUnresponsive = this->unresponsive;
        }
        const bool write = request.method != "GET";
        const int refused = this->refusalStatus(listener, write, std::chrono::steady_clock::now());
        if (refused != 0) {
            co_await responder.respond(
                messageResponse(refused, refused == 429 ? "rate" : "outage"));
            co_return;
        }
        if (pathOf(request.target) == "/v1/watch") {
            co_await this->serveWatch(std::move(listener), std::move(request), responder);
            co_return;
        }
        HttpResponse response = this->handle(request, std::chrono::steady_clock::now());
        if (write && response.status < 300 && this->shouldLoseAnswer()) {
            responder.abort();
            co_return;
        }
        co_await responder.respond(std::move(response));
    }

    HttpResponse handle(const HttpRequest &request, Instant now)
    {
        static constexpr std::string_view Objects = "/v1/objects/";
        static constexpr std::string_view Instances = "/v1/instances";
        const std::string path(pathOf(request.target));
        const std::lock_guard lock(this->mutex);
        if (path.starts_with(Objects)) {
            const auto key = percentDecode(std::string_view(path).substr(Objects.size()));
            return key ? this->handleObject(request, *key)
                       : messageResponse(400, "the key is not encoded");
        }
        if (path == "/v1/list") {
            json::object body;
            body["revision"] = this->store.revision();
            body["objects"] =
                toJson(this->store.list(queryParameter(request.target, "prefix")), false);
            return jsonResponse(body);
        }
        if (path == Instances)
            return this->handleInstanceList(now);
        if (path.starts_with(std::string(Instances) + "/")) {
            const auto id = percentDecode(std::string_view(path).substr(Instances.size() + 1));
            return id ? this->handleInstance(request, *id, now)
                      : messageResponse(400, "the id is not encoded");
        }
        return messageResponse(404, "no such path");
    }

    HttpResponse handleObject(const HttpRequest &request, const std::string &key)
    {
        if (request.method == "GET") {
            const auto *found = this->store.find(key);
            if (found == nullptr)
                return messageResponse(404, "no such object");
            auto response = makeResponse(200, "application/octet-stream", found->value);
            response.headers.emplace_back("ETag", '"' + std::to_string(found->version) + '"');
            return response;
        }
        ++this->callCounts["writes_" + key.substr(0, key.find('/'))];
        const auto match = findHeader(request.headers, "If-Match");
        const auto noneMatch = findHeader(request.headers, "If-None-Match");
        if (match.empty() && noneMatch.empty())
            return messageResponse(400, "a write needs a condition");
        const uint64_t expected = match.empty() ? 0 : parseNumber(match);
        if (request.method == "DELETE")
            return this->store.remove(key, expected) ? messageResponse(200, "")
                                                     : messageResponse(412, "conflict");
        if (request.method != "PUT")
            return messageResponse(405, "method");
        if (request.body.size() > MaxObjectBytes)
            return messageResponse(413, "larger than 1 MB");
        const auto version = this->store.write(key, request.body, expected);
        if (!version) {
            ++this->callCounts["conflicts"];
            return messageResponse(412, "conflict");
        }
        auto response = makeResponse(expected == 0 ? 201 : 200, "application/json", "{}");
        response.headers.emplace_back("ETag", '"' + std::to_string(*version) + '"');
        return response;
    }

    HttpResponse handleInstanceList(Instant now)
    {
        ++this->callCounts["instance_reads"];
        this->instances.expire(now);
        const auto &view =
            this->instances.laggedView(now, milliseconds(this->settings.list_lag_ms()));
        json::array rows;
        for (const auto &instance : view.instances) {
            json::object row;
            row["id"] = instance.id;
            row["role"] = instance.role;
            row["data_centre"] = instance.dataCentre;
            row["region"] = instance.region;
            row["state"] = instance.leaving ? "leaving" : "live";
            row["control"] = instance.control;
            row["data"] = instance.data;
            row["upstream"] = instance.upstream;
            rows.push_back(std::move(row));
        }
        json::object body;
        body["revision"] = view.revision;
        body["instances"] = std::move(rows);
        return jsonResponse(body);
    }

    HttpResponse handleInstance(const HttpRequest &request, const std::string &id, Instant now)
    {
        if (request.method == "DELETE") {
            const bool known =
                this->instances.markLeaving(id, now, milliseconds(this->settings.leaving_ms()));
            return known ? messageResponse(200, "") : messageResponse(404, "no such instance");
        }
        boost::system::error_code failure;
        const auto parsed = json::parse(request.body, failure);
        if (request.method != "PUT" || failure || !parsed.is_object())
            return messageResponse(400, "an instance is put as a JSON object");
        const auto &fields = parsed.as_object();
        PlatformInstance instance{id,
                                  textField(fields, "role"),
                                  textField(fields, "data_centre"),
                                  textField(fields, "region"),
                                  textField(fields, "control"),
                                  textField(fields, "data"),
                                  textField(fields, "upstream"),
                                  textField(fields, "state") == "leaving"};
        this->failedProbes.erase(id);
        this->instances.put(std::move(instance), now);
        return messageResponse(200, "");
    }

    asio::awaitable<void> serveWatch(std::string listener, HttpRequest request,
                                     HttpResponder &responder)
    {
        const auto prefix = queryParameter(request.target, "prefix");
        const uint64_t after = parseNumber(queryParameter(request.target, "after"));
        const auto limit = std::min<Duration>(
            MaxWatchTimeout,
            milliseconds(parseNumber(queryParameter(request.target, "timeout_ms"))));
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (true) {
            const auto now = std::chrono::steady_clock::now();
            std::optional<HttpResponse> response =
                this->tryWatch(listener, prefix, after, now >= deadline, now);
            if (response) {
                co_await responder.respond(std::move(*response));
                co_return;
            }
            co_await pause(WatchCheckInterval);
            if (responder.isPeerGone())
                co_return;
        }
    }

    /// Response to a watch after a change, an error or the watch's timeout; nothing as long as the
    /// watch has to wait.
    std::optional<HttpResponse> tryWatch(const std::string &listener, const std::string &prefix,
                                         uint64_t after, bool isTimedOut, Instant now)
    {
        const std::lock_guard lock(this->mutex);
        if (this->unresponsive)
            return std::nullopt;
        if (this->outage || now < this->outageUntil || this->cutListeners[listener])
            return messageResponse(503, "outage");
        if (!isTimedOut && after == this->store.revision())
            return std::nullopt;
        const auto changes = this->store.changesAfter(prefix, after);
        if (!changes)
            return messageResponse(410, "revision is too old");
        if (changes->empty() && !isTimedOut)
            return std::nullopt;
        ++this->callCounts["watches"];
        json::object body;
        body["revision"] = this->store.revision();
        body["changes"] = toJson(*changes, true);
        return jsonResponse(body);
    }

    /// Probes each instance's control address periodically, as a real platform checks its
    /// processes.
    asio::awaitable<void> probeLoop(std::shared_ptr<Impl> self)
    {
        const milliseconds interval(self->settings.probe_interval_ms());
        while (true) {
            co_await pause(interval);
            std::vector<std::pair<std::string, std::string>> targets;
            {
                const std::lock_guard lock(self->mutex);
                for (const auto &[id, instance] : self->instances.current())
                    targets.emplace_back(id, instance.control);
            }
            for (const auto &[id, control] : targets)
                co_await self->probe(id, control);
        }
    }

    asio::awaitable<void> probe(std::string id, std::string control)
    {
        const auto address = parseAddress(control);
        bool reached = false;
        if (isOk(address)) {
            asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
            boost::system::error_code ignored;
            const asio::ip::tcp::endpoint endpoint(
                asio::ip::make_address(value(address).host, ignored), value(address).port);
            auto [failure] = co_await socket.async_connect(endpoint, Await);
            reached = !failure;
        }
        const std::lock_guard lock(this->mutex);
        if (reached) {
            this->failedProbes.erase(id);
        } else if (++this->failedProbes[id] >= FailedProbesBeforeRemoval) {
            this->failedProbes.erase(id);
            this->instances.remove(id, std::chrono::steady_clock::now());
        }
    }
};

FakePlatform::FakePlatform(asio::io_context &context, const proto::FakePlatformSection &settings)
    : impl(std::make_shared<Impl>(context, settings))
{
    if (settings.probe_interval_ms() > 0)
        asio::co_spawn(context, this->impl->probeLoop(this->impl), asio::detached);
}

FakePlatform::~FakePlatform() = default;

Result<Address> FakePlatform::listen(const Address &address)
{
    auto name = std::make_shared<std::string>();
    auto handler = [impl = this->impl.get(), name](HttpRequest request, HttpResponder &responder) {
        return impl->serve(*name, std::move(request), responder);
    };
    HttpServerLimits limits;
    limits.bodyBytes = 2 * MaxObjectBytes;
    auto server = std::make_unique<HttpServer>(this->impl->context, handler, limits);
    auto bound = server->listen(address);
    if (isOk(bound)) {
        *name = toString(value(bound));
        this->impl->servers.push_back(std::move(server));
    }
    return bound;
}

void FakePlatform::setCut(const Address &listener, bool cut)
{
    const std::lock_guard lock(this->impl->mutex);
    this->impl->cutListeners[toString(listener)] = cut;
}

Result<Unit> FakePlatform::setFault(const json::object &fault)
{
    auto &state = *this->impl;
    const std::lock_guard lock(state.mutex);
    for (const auto &[key, field] : fault) {
        boost::system::error_code wrong;
        const auto number = field.is_number() ? field.to_number<double>(wrong) : 0.0;
        const bool flag = field.is_bool() && field.as_bool();
        if (key == "outage")
            state.outage = flag;
        else if (key == "outage_ms")
            state.outageUntil =
                std::chrono::steady_clock::now() + milliseconds(static_cast<int64_t>(number));
        else if (key == "silent")
            state.unresponsive = flag;
        else if (key == "latency_ms")
            state.settings.set_latency_ms(static_cast<uint32_t>(number));
        else if (key == "list_lag_ms")
            state.settings.set_list_lag_ms(static_cast<uint32_t>(number));
        else if (key == "lost_answers")
            state.lostAnswers = static_cast<uint64_t>(number);
        else if (key == "lost_answer_percent")
            state.lostAnswerPercent = number;
        else if (key == "reads_per_second")
            state.readLimit.setRate(number);
        else if (key == "writes_per_second")
            state.writeLimit.setRate(number);
        else if (key == "compact" && flag)
            state.store.compact();
        else if (key != "compact")
            return Error{ErrorKind::BadRequest, "unknown fault " + std::string(key)};
    }
    return Unit{};
}

json::object FakePlatform::stats() const
{
    const std::lock_guard lock(this->impl->mutex);
    json::object body;
    for (const auto &[name, count] : this->impl->callCounts)
        body[name] = count;
    body["revision"] = this->impl->store.revision();
    return body;
}

HttpHandler FakePlatform::adminRoute()
{
    return [this](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
        HttpResponse response;
        if (request.method == "POST") {
            boost::system::error_code failure;
            const auto parsed = json::parse(request.body, failure);
            const auto *object = failure ? nullptr : parsed.if_object();
            const bool set = object != nullptr && isOk(this->setFault(*object));
            response = set ? messageResponse(200, "") : messageResponse(400, "not a fault");
        } else {
            response = jsonResponse(this->stats());
        }
        co_await responder.respond(std::move(response));
    };
}

} // namespace tray
