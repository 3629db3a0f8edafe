// Implements the stand-ins of this review with plain sockets and threads.
#include "Rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace rig {

namespace {

const Clock::time_point Began = Clock::now();
std::mutex recordMutex;
std::vector<int> children;

std::string folder()
{
    static const std::string path = [] {
        std::string name = "/tmp/review-2-XXXXXX";
        if (::mkdtemp(name.data()) == nullptr)
            cannotRun("no temporary folder");
        return name;
    }();
    return path;
}

void endOnSignal(int)
{
    // The programs end with this process.
    ::_exit(2);
}

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

bool equalsIgnoringCase(std::string_view one, std::string_view other)
{
    return one.size() == other.size() &&
           std::equal(one.begin(), one.end(), other.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a)) ==
                      std::tolower(static_cast<unsigned char>(b));
           });
}

const char *reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 412:
        return "Precondition Failed";
    case 421:
        return "Misdirected Request";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

std::string queryOf(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    if (question == std::string::npos)
        return "";
    const std::string query = "&" + target.substr(question + 1);
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return "";
    const auto begin = at + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
}

} // namespace

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Began).count();
}

void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(0, ms)));
}

void sleepUntil(int64_t ms)
{
    sleepMs(ms - nowMs());
}

uint64_t wallMs()
{
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
}

std::string hexId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

void record(const std::string &line)
{
    static std::FILE *file = [] {
        const char *path = std::getenv("RECORD");
        std::FILE *opened = std::fopen(path == nullptr ? "/dev/stdout" : path, "we");
        return opened == nullptr ? stdout : opened;
    }();
    const std::lock_guard lock(recordMutex);
    std::fprintf(file, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000, line.c_str());
    std::fflush(file);
}

std::string header(const Headers &headers, std::string_view name)
{
    for (const auto &[key, text] : headers) {
        if (equalsIgnoringCase(key, name))
            return text;
    }
    return "";
}

Connection::~Connection()
{
    this->closeNow();
}

void Connection::closeNow()
{
    const std::lock_guard lock(this->mutex);
    if (this->fd >= 0)
        ::close(std::exchange(this->fd, -1));
}

void Connection::reset()
{
    const std::lock_guard lock(this->mutex);
    if (this->fd < 0)
        return;
    // The descriptor stays valid until the threads that use it have ended.
    const linger now{1, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    // Disconnecting sends a reset and wakes readers.
    ::connect(this->fd, &unspecified, sizeof unspecified);
    ::shutdown(this->fd, SHUT_RDWR);
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto size = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(size));
    }
    return true;
}

bool Connection::fill(int64_t timeoutMs)
{
    pollfd poll{this->fd, POLLIN, 0};
    if (::poll(&poll, 1, static_cast<int>(std::max<int64_t>(0, timeoutMs))) <= 0)
        return false;
    char bytes[16384];
    const auto size = ::recv(this->fd, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    this->buffer.append(bytes, static_cast<size_t>(size));
    return true;
}

bool Connection::readLine(std::string &line, int64_t timeoutMs)
{
    const int64_t end = nowMs() + timeoutMs;
    size_t at;
    while ((at = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->fill(end - nowMs()))
            return false;
    }
    line = this->buffer.substr(0, at);
    this->buffer.erase(0, at + 2);
    return true;
}

bool Connection::readHead(int &status, Headers &headers, int64_t timeoutMs)
{
    std::string line;
    const int64_t end = nowMs() + timeoutMs;
    do {
        headers.clear();
        if (!this->readLine(line, end - nowMs()) || line.size() < 12)
            return false;
        status = std::atoi(line.c_str() + 9);
        while (true) {
            if (!this->readLine(line, end - nowMs()))
                return false;
            if (line.empty())
                break;
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            auto begin = line.find_first_not_of(" \t", colon + 1);
            headers.emplace_back(line.substr(0, colon),
                                 begin == std::string::npos ? "" : line.substr(begin));
        }
    } while (status / 100 == 1);
    const std::string length = header(headers, "Content-Length");
    this->isChunked = equalsIgnoringCase(header(headers, "Transfer-Encoding"), "chunked");
    this->left = this->isChunked ? 0 : length.empty() ? -1 : std::atoll(length.c_str());
    this->isAtEnd = !this->isChunked && this->left == 0;
    return true;
}

bool Connection::readBody(std::string &piece, int64_t timeoutMs)
{
    piece.clear();
    if (this->isAtEnd)
        return true;
    const int64_t end = nowMs() + timeoutMs;
    if (this->isChunked && this->left == 0) {
        std::string line;
        if (!this->readLine(line, timeoutMs))
            return false;
        this->left = std::strtoll(line.c_str(), nullptr, 16);
        if (this->left == 0) {
            this->isAtEnd = true;
            return this->readLine(line, end - nowMs());
        }
    }
    if (this->buffer.empty() && !this->fill(end - nowMs())) {
        this->isAtEnd = this->left < 0;
        return this->left < 0;
    }
    const size_t size = this->left < 0
                            ? this->buffer.size()
                            : std::min(this->buffer.size(), static_cast<size_t>(this->left));
    piece = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    if (this->left > 0)
        this->left -= static_cast<int64_t>(size);
    if (this->left == 0 && this->isChunked) {
        std::string line;
        return this->readLine(line, end - nowMs());
    }
    this->isAtEnd = this->left == 0;
    return true;
}

bool Connection::readRequest(Request &request)
{
    constexpr int64_t IdleMs = 600000;
    std::string line;
    if (!this->readLine(line, IdleMs))
        return false;
    request = {};
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (second == std::string::npos)
        return false;
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    while (true) {
        if (!this->readLine(line, IdleMs))
            return false;
        if (line.empty())
            break;
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const auto begin = line.find_first_not_of(" \t", colon + 1);
        request.headers.emplace_back(line.substr(0, colon),
                                     begin == std::string::npos ? "" : line.substr(begin));
    }
    this->isChunked = equalsIgnoringCase(request.get("Transfer-Encoding"), "chunked");
    const std::string length = request.get("Content-Length");
    this->left = this->isChunked || length.empty() ? 0 : std::atoll(length.c_str());
    this->isAtEnd = !this->isChunked && this->left == 0;
    std::string piece;
    while (!this->isAtEnd) {
        if (!this->readBody(piece, IdleMs))
            return false;
        request.body += piece;
    }
    return true;
}

bool Connection::isPeerGone()
{
    char byte;
    const auto size = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Server::Server(Address address, Handler handler, size_t maxConnections)
    : address(std::move(address)), handler(std::move(handler)), maxConnections(maxConnections)
{
    this->start();
}

Server::~Server()
{
    this->stop();
}

void Server::listenOn(int backlog)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto target = toSocketAddress(this->address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 ||
        ::listen(fd, backlog) != 0)
        cannotRun("cannot listen on " + this->address.text() + ": " + std::strerror(errno));
    this->listener = fd;
}

void Server::start(int64_t resetAfterMs)
{
    this->stop(resetAfterMs);
    const std::lock_guard lock(this->mutex);
    this->listenOn(1024);
    std::thread([this, fd = this->listener] { this->acceptLoop(fd); }).detach();
}

void Server::stop(int64_t resetAfterMs)
{
    std::set<std::shared_ptr<Connection>> open;
    {
        const std::lock_guard lock(this->mutex);
        for (const int filler : std::exchange(this->fillers, {}))
            ::close(filler);
        if (this->listener >= 0) {
            ::shutdown(this->listener, SHUT_RDWR);
            ::close(std::exchange(this->listener, -1));
        }
        open.swap(this->connections);
    }
    const auto resetAll = [open, resetAfterMs] {
        sleepMs(resetAfterMs);
        for (const auto &connection : open)
            connection->reset();
    };
    if (resetAfterMs > 0)
        std::thread(resetAll).detach();
    else
        resetAll();
}

void Server::goDark()
{
    const std::lock_guard lock(this->mutex);
    ::shutdown(this->listener, SHUT_RDWR);
    ::close(std::exchange(this->listener, -1));
    // A full queue of new connections drops all further ones.
    this->listenOn(0);
    const auto target = toSocketAddress(this->address);
    for (int i = 0; i < 4; ++i) {
        const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)::connect(filler, reinterpret_cast<const sockaddr *>(&target), sizeof target);
        this->fillers.push_back(filler);
    }
}

void Server::acceptLoop(int fd)
{
    while (true) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        const int yes = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const auto connection = std::make_shared<Connection>(accepted);
        bool isTooMany = false;
        {
            const std::lock_guard lock(this->mutex);
            isTooMany = this->connections.size() >= this->maxConnections;
            if (!isTooMany)
                this->connections.insert(connection);
        }
        if (isTooMany) {
            connection->reset();
            continue;
        }
        std::thread([this, connection] {
            Request request;
            while (connection->readRequest(request) && this->handler(request, *connection)) {
            }
            const std::lock_guard lock(this->mutex);
            if (this->connections.erase(connection) > 0)
                connection->closeNow();
        }).detach();
    }
}

bool respond(Connection &connection, int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return connection.write(text);
}

namespace {

void skipSpaces(const std::string &text, size_t &at)
{
    while (at < text.size() && std::isspace(static_cast<unsigned char>(text[at])))
        ++at;
}

/// Moves behind the value that begins at the position.
void skipValue(const std::string &text, size_t &at)
{
    int depth = 0;
    bool isQuoted = false;
    for (; at < text.size(); ++at) {
        const char c = text[at];
        if (isQuoted) {
            if (c == '\\')
                ++at;
            else if (c == '"')
                isQuoted = false;
            continue;
        }
        if (c == '"')
            isQuoted = true;
        else if (c == '{' || c == '[')
            ++depth;
        else if (c == '}' || c == ']') {
            if (depth == 0)
                return;
            --depth;
        } else if (c == ',' && depth == 0)
            return;
    }
}

} // namespace

std::optional<std::string> jsonMember(const std::string &text, const std::vector<std::string> &path)
{
    std::string present = text;
    for (const auto &name : path) {
        size_t at = 0;
        skipSpaces(present, at);
        if (at >= present.size() || present[at] != '{')
            return std::nullopt;
        ++at;
        std::optional<std::string> found;
        while (true) {
            skipSpaces(present, at);
            if (at >= present.size() || present[at] != '"')
                break;
            const auto end = present.find('"', at + 1);
            const std::string key = present.substr(at + 1, end - at - 1);
            at = present.find(':', end) + 1;
            skipSpaces(present, at);
            const size_t begin = at;
            skipValue(present, at);
            if (key == name) {
                found = present.substr(begin, at - begin);
                break;
            }
            if (at < present.size() && present[at] == ',')
                ++at;
        }
        if (!found)
            return std::nullopt;
        present = *found;
    }
    return present;
}

std::string jsonString(const std::string &text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.find_last_of('"') - 1)
                                                   : text;
}

Store::Store(Address address) : address(address)
{
    this->server =
        std::make_unique<Server>(address, [this](Request &request, Connection &connection) {
            return this->handle(request, connection);
        });
}

std::string Store::describe(const std::string &name, const Object &object) const
{
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"create_revision\":" + std::to_string(object.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
}

void Store::change(const std::string &kind, const std::string &name, const std::string *spec)
{
    auto &all = this->objects[kind];
    const auto found = all.find(name);
    if (spec == nullptr ? found == all.end() : found != all.end() && found->second.spec == *spec)
        return;
    ++this->revision;
    std::string text;
    if (spec == nullptr) {
        text = "{\"removed\":true,\"object\":" + this->describe(name, found->second) + "}";
        all.erase(found);
    } else {
        auto &object = all[name];
        object.revision = this->revision;
        if (object.created == 0)
            object.created = this->revision;
        object.spec = *spec;
        text = "{\"removed\":false,\"object\":" + this->describe(name, object) + "}";
    }
    this->events.push_back({this->revision, kind, std::move(text)});
    this->changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(this->mutex);
    this->change(kind, name, &spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    this->change(kind, name, nullptr);
}

bool Store::handle(Request &request, Connection &connection)
{
    const Headers headers{{"Content-Type", "application/json"}, {"Store-Era", "1"}};
    const std::string prefix = "/v1/objects/";
    const std::string path = request.target.substr(0, request.target.find('?'));
    while (this->isSilent)
        sleepMs(20);
    if (!path.starts_with(prefix))
        return respond(connection, 404, headers, "{}");
    std::string kind = path.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
    }
    // The usual time of an answer.
    sleepMs(4);
    std::unique_lock lock(this->mutex);
    int status = 200;
    std::string body;
    if (request.method == "GET" && name.empty() && !queryOf(request.target, "watch").empty()) {
        const uint64_t since = std::stoull(queryOf(request.target, "watch"));
        const std::string wait = queryOf(request.target, "wait_ms");
        const auto collect = [&] {
            std::string texts;
            for (const auto &event : this->events) {
                if (event.revision > since && event.kind == kind)
                    texts += (texts.empty() ? "" : ",") + event.text;
            }
            return texts;
        };
        std::string texts = collect();
        const auto end =
            Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
        while (texts.empty() && Clock::now() < end) {
            this->changed.wait_until(lock,
                                     std::min(end, Clock::now() + std::chrono::milliseconds(200)));
            texts = collect();
            if (connection.isPeerGone())
                return false;
        }
        body =
            "{\"events\":[" + texts + "],\"current_rev\":" + std::to_string(this->revision) + "}";
    } else if (request.method == "GET" && name.empty()) {
        const std::string after = queryOf(request.target, "after");
        std::string items;
        for (const auto &[key, object] : this->objects[kind]) {
            if (after.empty() || key > after)
                items += (items.empty() ? "" : ",") + this->describe(key, object);
        }
        body = "{\"items\":[" + items +
               "],\"more\":false,\"current_rev\":" + std::to_string(this->revision) + "}";
    } else {
        if (name.empty())
            name = jsonString(jsonMember(request.body, {"metadata", "name"}).value_or(""));
        auto &all = this->objects[kind];
        const auto found = all.find(name);
        const std::string wanted = jsonMember(request.body, {"metadata", "revision"}).value_or("");
        const bool isStale = found != all.end() && !wanted.empty() && wanted != "0" &&
                             wanted != std::to_string(found->second.revision);
        if (request.method == "POST" ? found != all.end() : isStale) {
            status = 409;
        } else if (request.method != "POST" && found == all.end()) {
            status = 404;
        } else if (request.method == "POST" || request.method == "PUT") {
            const std::string spec = jsonMember(request.body, {"spec"}).value_or("null");
            this->change(kind, name, &spec);
        } else if (request.method == "DELETE") {
            this->change(kind, name, nullptr);
        }
        const auto present = all.find(name);
        body = present == all.end() ? "{}" : this->describe(name, present->second);
    }
    lock.unlock();
    while (this->isSilent)
        sleepMs(20);
    return respond(connection, status, headers, body);
}

Engine::Engine(Store &store, Settings settings, RunHook onRun)
    : settings(std::move(settings)), store(store), onRun(std::move(onRun))
{
    this->server = std::make_unique<Server>(
        this->settings.address,
        [this](Request &request, Connection &connection) {
            return this->handle(request, connection);
        },
        this->settings.maxConnections);
    this->beats = std::thread([this] {
        constexpr int64_t BeatMs = 1200;
        int64_t expireAt = -1;
        while (!this->isEnding) {
            sleepMs(20);
            const int64_t now = nowMs();
            if (this->isUp && now >= this->nextBeatAt && !this->store.isSilent) {
                this->beat();
                this->nextBeatAt = now + BeatMs;
                expireAt = now + 3 * BeatMs;
            }
            // Entries are removed after three beats of silence.
            if (expireAt >= 0 && now >= expireAt) {
                this->store.remove("servers", this->settings.id);
                expireAt = -1;
            }
        }
    });
}

Engine::~Engine()
{
    this->isEnding = true;
    this->beats.join();
    this->server->stop();
}

std::string Engine::entry()
{
    const std::lock_guard lock(this->mutex);
    std::string models;
    for (const auto &model : this->settings.models)
        models += (models.empty() ? "" : ",") +
                  ("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
    const std::string engine = this->settings.isModelEngine
                                   ? ",\"stage\":\"both\",\"models\":[" + models + "]"
                                   : std::string();
    return "{\"service\":\"" + this->settings.service + "\",\"address\":\"" +
           this->settings.address.text() + "\",\"zone\":\"" + this->settings.zone +
           "\",\"version\":\"" + this->settings.version +
           "\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0" + engine +
           ",\"sequence\":" + std::to_string(this->sequence) +
           ",\"born\":" + std::to_string(this->bornMs) + "}";
}

void Engine::beat()
{
    this->store.put("servers", this->settings.id, this->entry());
}

void Engine::crash()
{
    this->isUp = false;
    ++this->incarnation;
    this->server->stop();
}

void Engine::goDark()
{
    this->isUp = false;
    ++this->incarnation;
    this->server->goDark();
}

void Engine::restart(const std::string &version, int64_t firstBeatAfterMs, int64_t resetAfterMs)
{
    {
        const std::lock_guard lock(this->mutex);
        this->settings.version = version;
        this->settings.models.clear();
        this->bornMs = wallMs();
        this->sequence = 0;
        this->highestFence = 0;
        this->loading.clear();
    }
    this->nextBeatAt = nowMs() + firstBeatAfterMs;
    this->isUp = true;
    this->server->start(resetAfterMs);
}

bool Engine::handle(Request &request, Connection &connection)
{
    if (!this->isUp) {
        // A host without power says nothing; its connections are reset once it is back.
        while (!connection.isPeerGone() && !this->isEnding)
            sleepMs(20);
        return false;
    }
    Headers headers{{"Marjoramtray-Request-Id", request.get("Marjoramtray-Request-Id")}};
    const std::string expected = request.get("Marjoramtray-Expect-Instance");
    if (!expected.empty() && expected != this->settings.id) {
        headers.emplace_back("Marjoramtray-Instance-Id", this->settings.id);
        return respond(connection, 421, headers, "");
    }
    std::unique_lock lock(this->mutex);
    if (!this->loading.empty() && nowMs() >= this->loadedAt)
        this->settings.models.push_back(std::exchange(this->loading, ""));
    const bool isBusy = !this->loading.empty();
    if (request.target == "/health") {
        lock.unlock();
        headers.emplace_back("Marjoramtray-Instance-Id", this->settings.id);
        return respond(connection, 200, headers, "");
    }
    if (request.target == "/v1/report") {
        std::string models;
        for (const auto &model : this->settings.models)
            models += (models.empty() ? "" : ",") +
                      ("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
        const std::string body =
            "{\"stage\":\"both\",\"models\":[" + models +
            "],\"busy\":" + (isBusy ? "true" : "false") +
            ",\"sequence\":" + std::to_string(this->sequence) +
            ",\"queue_depth\":0,\"active_requests\":0,\"kv_used\":0,\"kv_total\":136254,"
            "\"handles\":0,\"state\":\"ready\",\"coming\":[],\"at_hand\":{\"in_memory\":[],"
            "\"on_disk\":[]},\"born\":" +
            std::to_string(this->bornMs) + "}";
        lock.unlock();
        headers.emplace_back("Content-Type", "application/json");
        return respond(connection, 200, headers, body);
    }
    if (request.target == "/v1/order") {
        const std::string verb = jsonString(jsonMember(request.body, {"op"}).value_or(""));
        const std::string model = jsonString(jsonMember(request.body, {"model"}).value_or(""));
        const std::string holder = jsonString(jsonMember(request.body, {"holder"}).value_or(""));
        const uint64_t fence =
            std::strtoull(jsonMember(request.body, {"fence"}).value_or("0").c_str(), nullptr, 10);
        const std::string sequenceText = jsonMember(request.body, {"expected"}).value_or("");
        auto &models = this->settings.models;
        const bool isHeld = std::find(models.begin(), models.end(), model) != models.end();
        int status = 202;
        if (holder.empty() || fence == 0 || (verb != "load" && verb != "unload"))
            status = 400;
        else if (fence < this->highestFence)
            status = 412;
        else if (isBusy ||
                 (!sequenceText.empty() && sequenceText != std::to_string(this->sequence)))
            status = 409;
        else if (isHeld == (verb == "load"))
            status = 200;
        this->highestFence = std::max(this->highestFence, fence);
        if (status == 202) {
            ++this->sequence;
            if (verb == "load") {
                this->loading = model;
                this->loadedAt = nowMs() + this->settings.loadMs;
            } else {
                std::erase(models, model);
            }
        }
        lock.unlock();
        record("order engine=" + this->settings.id + " " + verb + " " + model + " holder=" +
               holder + " fence=" + std::to_string(fence) + " status=" + std::to_string(status));
        return respond(connection, status, headers, "");
    }
    if (this->settings.isModelEngine) {
        const std::string name = request.get("Marjoramtray-Model");
        const std::string model = name.substr(0, name.find('/'));
        const auto &models = this->settings.models;
        if (std::find(models.begin(), models.end(), model) == models.end()) {
            lock.unlock();
            headers.emplace_back("Marjoramtray-Instance-Id", this->settings.id);
            return respond(connection, 421, headers, "");
        }
    }
    lock.unlock();
    if (this->onRun)
        this->onRun(*this, request);
    headers.emplace_back("Marjoramtray-Response-Seal",
                         "seal." + request.get("Marjoramtray-Request-Id"));
    if (request.target.find("/stream") != std::string::npos)
        return this->stream(request, connection);
    sleepMs(this->settings.workMs);
    headers.emplace_back("Content-Type", "application/octet-stream");
    return respond(connection, 200, headers, "answer of " + this->settings.id + "\n");
}

bool Engine::stream(Request &request, Connection &connection)
{
    const std::string id = request.get("Marjoramtray-Request-Id");
    const uint64_t present = this->incarnation;
    const std::string version = this->settings.version;
    std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    head += "Marjoramtray-Request-Id: " + id + "\r\nMarjoramtray-Response-Seal: seal." + id +
            "\r\n\r\n";
    const std::string last = request.get("Last-Event-Id");
    bool isFirst = true;
    for (int64_t event = (last.empty() ? 0 : std::atoll(last.c_str())) + 1;
         event <= this->settings.events; ++event) {
        sleepMs(isFirst ? this->settings.workMs : this->settings.eventGapMs);
        if (present != this->incarnation || this->isEnding) {
            // Nothing more is said on this connection; it is reset by Server::stop().
            while (!connection.isPeerGone() && !this->isEnding)
                sleepMs(20);
            return false;
        }
        if (connection.isPeerGone())
            return false;
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + version + " " +
                                 this->settings.id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        std::string bytes = (isFirst ? head : std::string()) + size + text + "\r\n";
        isFirst = false;
        if (!connection.write(bytes))
            return false;
    }
    return connection.write((isFirst ? head : std::string()) + "0\r\n\r\n");
}

Program::Program(std::string path, std::string name, std::string settings)
    : path(std::move(path)), name(std::move(name)),
      settingsFile(folder() + "/" + this->name + ".json")
{
    std::FILE *file = std::fopen(this->settingsFile.c_str(), "w");
    if (file == nullptr || std::fputs(settings.c_str(), file) < 0)
        cannotRun("cannot write settings");
    std::fclose(file);
}

Program::~Program()
{
    if (this->isRunning())
        this->signal(SIGKILL);
    this->waitForEnd(2000);
}

void Program::start()
{
    const std::string log = folder() + "/" + this->name + ".log";
    const std::string variable = "MARJORAMTRAY_NODE_FILE=" + this->settingsFile;
    const char *path = this->path.c_str();
    this->child = ::fork();
    if (this->child == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, 1);
        ::dup2(output, 2);
        char *const arguments[] = {const_cast<char *>(path), nullptr};
        char *const environment[] = {const_cast<char *>(variable.c_str()),
                                     const_cast<char *>("PATH=/usr/bin:/bin"),
                                     const_cast<char *>("LANG=C"), nullptr};
        ::execve(path, arguments, environment);
        ::_exit(127);
    }
    children.push_back(this->child);
    record("start " + this->name + " pid=" + std::to_string(this->child));
}

void Program::signal(int number)
{
    record("signal " + this->name + " " + std::to_string(number));
    if (this->child > 0)
        ::kill(this->child, number);
}

bool Program::isRunning()
{
    return !this->waitForEnd(0);
}

bool Program::waitForEnd(int64_t timeoutMs)
{
    if (this->child < 0)
        return true;
    const int64_t end = nowMs() + timeoutMs;
    while (true) {
        int status = 0;
        if (::waitpid(this->child, &status, WNOHANG) == this->child) {
            record("end " + this->name + " status=" + std::to_string(status));
            std::erase(children, this->child);
            this->child = -1;
            return true;
        }
        if (nowMs() >= end)
            return false;
        sleepMs(5);
    }
}

Site::Site()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, endOnSignal);
    std::signal(SIGINT, endOnSignal);
    std::mt19937 random(std::random_device{}());
    this->prefix = "127." + std::to_string(20 + random() % 200) + "." +
                   std::to_string(1 + random() % 250) + ".";
    // Ports below the range from which the system takes those of clients.
    const int base = 11000 + static_cast<int>(random() % 900) * 20;
    this->frontPort = base;
    this->readinessPort = base + 1;
    this->innerPort = base + 2;
    this->enginePort = base + 18;
    this->store = {this->ipOf(200), base + 19};
}

std::string Site::ipOf(int host) const
{
    return this->prefix + std::to_string(host);
}

namespace {

std::string commonSettings(const Site &site, const std::string &name, const std::string &kind,
                           int host, const std::string &zone)
{
    const std::string ip = site.ipOf(host);
    return "\"node_name\":\"" + name + "\",\"role\":\"" +
           (kind == "front" ? "gateway" : "steward") + "\",\"machine_class\":\"" + kind +
           "\",\"serves\":[\"" + kind + "\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone +
           "\",\"region\":\"costa\",\"zones\":{\"costa-a\":\"costa\",\"costa-b\":\"costa\"}," +
           "\"inner_port_range\":[" + std::to_string(site.innerPort) + "," +
           std::to_string(site.innerPort + 15) +
           "],\"seeds\":[],\"bootstrap\":true,\"counts_as_loss\":false,\"data_dir\":null,"
           "\"discovery\":\"platform\"," +
           "\"entry\":\"virtual_ip\",\"beat_interval_ms\":1200,\"contracts\":[\"base\",\"drain\","
           "\"config\",\"cost\"," +
           "\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"],\"tolerate\":{"
           "\"machines\":1,\"zones\":0," +
           "\"regions\":0},\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":"
           "4000,\"ack_ms\":5000," +
           "\"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_"
           "ms\":3000," +
           "\"rollback_slack_ms\":250,\"stretch_ms\":6000,\"budget_ratio\":0.2,\"budget_window_s\":"
           "10," +
           "\"budget_slack\":58,\"recover_s\":12,\"pass_ms\":400,\"again_s\":0,\"fencing_"
           "required\":true," +
           "\"lease_ms\":3000,\"thaw_slack_ms\":300,\"ceiling_window_s\":5,\"ceiling_over\":1.1}," +
           "\"platform\":{\"address\":\"" + site.store.text() +
           "\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
           "\"value_bytes\":1048576," +
           "\"ttl_min_ms\":1000}";
}

} // namespace

std::string Site::gatewaySettings(int gateway, const std::string &zone) const
{
    const std::string ip = this->ipOf(gateway);
    return "{" + commonSettings(*this, "front-" + std::to_string(gateway), "front", gateway, zone) +
           ",\"listen\":{\"front\":\"" + ip + ":" + std::to_string(this->frontPort) +
           "\",\"readiness_addr\":\"" + ip + ":" + std::to_string(this->readinessPort) +
           "\"},\"limits\":{\"cpu_share\":0.19,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,"
           "\"link_mbps\":1000.0,"
           "\"disk_mb\":0}}";
}

std::string Site::stewardSettings(int host, const Engine::Settings &engine) const
{
    return "{" + commonSettings(*this, "side-" + std::to_string(host), "side", host, engine.zone) +
           ",\"listen\":{},\"app\":\"" + engine.address.text() + "\",\"service\":\"" +
           engine.service +
           "\",\"limits\":{\"cpu_share\":0.2,\"cores\":1,\"memory_mb\":192,\"max_fds\":4096,\"link_"
           "mbps\":2000.0,"
           "\"disk_mb\":0}}";
}

std::unique_ptr<Program> Site::gateway(int gateway) const
{
    return std::make_unique<Program>("target/bin/tray-gateway", "front-" + std::to_string(gateway),
                                     this->gatewaySettings(gateway));
}

std::unique_ptr<Program> Site::steward(int host, const Engine::Settings &engine) const
{
    return std::make_unique<Program>("target/bin/tray-steward", "side-" + std::to_string(host),
                                     this->stewardSettings(host, engine));
}

bool Site::isReady(int gateway) const
{
    return call({this->ipOf(gateway), this->readinessPort}, "GET", "/v1/readiness", {}, "", 500)
               .status == 200;
}

bool Site::awaitReady(int gateway, int64_t timeoutMs) const
{
    const int64_t end = nowMs() + timeoutMs;
    while (!this->isReady(gateway)) {
        if (nowMs() >= end)
            return false;
        sleepMs(50);
    }
    return true;
}

std::unique_ptr<Connection> dial(const Address &address, int64_t timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto target = toSocketAddress(address);
    auto connection = std::make_unique<Connection>(fd);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        pollfd poll{fd, POLLOUT, 0};
        int code = 0;
        socklen_t size = sizeof code;
        if (::poll(&poll, 1, static_cast<int>(timeoutMs)) <= 0 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size) != 0 || code != 0)
            return nullptr;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return connection;
}

std::string formatRequest(const std::string &method, const std::string &target,
                          const Headers &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    if (header(headers, "Host").empty())
        text += "Host: a.example\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

Answer call(const Address &address, const std::string &method, const std::string &target,
            const Headers &headers, const std::string &body, int64_t timeoutMs)
{
    Answer answer;
    const int64_t end = nowMs() + timeoutMs;
    const auto connection = dial(address, std::min<int64_t>(timeoutMs, 1000));
    answer.wasConnected = connection != nullptr;
    if (!connection || !connection->write(formatRequest(method, target, headers, body)) ||
        !connection->readHead(answer.status, answer.headers, end - nowMs()))
        return answer;
    std::string piece;
    do {
        if (!connection->readBody(piece, end - nowMs()))
            return answer;
        answer.body += piece;
    } while (!piece.empty());
    answer.isWhole = true;
    return answer;
}

Answer openStream(const Address &address, const std::string &target, const Headers &headers,
                  int64_t timeoutMs, int64_t gapMs,
                  const std::function<bool(const StreamEvent &)> &onEvent)
{
    Answer answer;
    const int64_t end = nowMs() + timeoutMs;
    const auto connection = dial(address);
    answer.wasConnected = connection != nullptr;
    if (!connection || !connection->write(formatRequest("POST", target, headers, "prompt")) ||
        !connection->readHead(answer.status, answer.headers, std::min(end - nowMs(), gapMs)))
        return answer;
    std::string waiting;
    std::string piece;
    while (true) {
        if (!connection->readBody(piece, std::min(end - nowMs(), gapMs)))
            return answer;
        if (piece.empty())
            break;
        if (answer.status != 200) {
            answer.body += piece;
            continue;
        }
        waiting += piece;
        size_t at;
        while ((at = waiting.find("\n\n")) != std::string::npos) {
            StreamEvent event;
            event.text = waiting.substr(0, at);
            waiting.erase(0, at + 2);
            if (event.text.starts_with("id: "))
                event.id = std::atoll(event.text.c_str() + 4);
            if (!onEvent(event))
                return answer;
        }
    }
    answer.isWhole = true;
    return answer;
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

void finish(int status)
{
    for (const int child : children) {
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
        (void)!std::system(("rm -rf " + folder()).c_str());
    else
        std::fprintf(stderr, "logs: %s\n", folder().c_str());
    std::fflush(nullptr);
    // Threads of the stand-ins still run.
    ::_exit(status);
}

void cannotRun(const std::string &reason)
{
    record("cannot run: " + reason);
    finish(2);
}

} // namespace rig
