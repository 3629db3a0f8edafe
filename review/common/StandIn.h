// Stand-ins of the platform's store, of plain engines and of clients, for the review's scripts.
// They use blocking sockets and one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point StartedAt = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - StartedAt).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes lines with the time in seconds to record.txt.
class Record
{
public:
    explicit Record(const std::string &file) : out(std::fopen(file.c_str(), "w")) {}

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->out, "%8.3f %s\n", seconds(), text);
        std::fflush(this->out);
    }

private:
    std::FILE *out;
    std::mutex mutex;
};

struct Message
{
    /// Request line or status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, text] : this->headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return text;
        }
        return "";
    }
    std::string method() const { return this->start.substr(0, this->start.find(' ')); }
    std::string target() const
    {
        const auto from = this->start.find(' ') + 1;
        return this->start.substr(from, this->start.find(' ', from) - from);
    }
    int status() const { return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0; }
};

/// One TCP connection with a read buffer.
class Connection
{
public:
    explicit Connection(int socket) : socket(socket)
    {
        int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { this->close(); }
    Connection(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &ip, int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<Connection>(socket);
    }

    bool send(const std::string &bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size =
                ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<size_t>(size);
        }
        return true;
    }

    /// Reads one message with a length, in chunks, or up to the end of the connection (answers
    /// only). Nothing if the connection ends before the message, or after the time.
    std::optional<Message> read(int timeoutMs = 600000)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        while (this->buffer.find("\r\n\r\n") == std::string::npos) {
            if (!this->fill(until))
                return std::nullopt;
        }
        Message message;
        const auto end = this->buffer.find("\r\n\r\n");
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, message.start);
        if (!message.start.empty() && message.start.back() == '\r')
            message.start.pop_back();
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
        }
        const bool isAnswer = message.start.rfind("HTTP/", 0) == 0;
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                size_t lineEnd;
                while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                    if (!this->fill(until))
                        return std::nullopt;
                }
                const size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
                while (this->buffer.size() < lineEnd + 2 + size + 2) {
                    if (!this->fill(until))
                        return std::nullopt;
                }
                message.body += this->buffer.substr(lineEnd + 2, size);
                this->buffer.erase(0, lineEnd + 2 + size + 2);
                if (size == 0)
                    return message;
            }
        }
        if (!message.header("Content-Length").empty()) {
            const size_t size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
            while (this->buffer.size() < size) {
                if (!this->fill(until))
                    return std::nullopt;
            }
            message.body = this->buffer.substr(0, size);
            this->buffer.erase(0, size);
        } else if (isAnswer) {
            while (this->fill(until)) {
            }
            message.body = std::exchange(this->buffer, "");
        }
        return message;
    }

    /// Whether the peer has closed or reset the connection.
    bool isPeerGone() const
    {
        char byte;
        const auto size = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void reset()
    {
        linger option{1, 0};
        ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        this->close();
    }

    /// Ends the reads of another thread.
    void shutdown() { ::shutdown(this->socket, SHUT_RDWR); }

    void close()
    {
        if (this->socket >= 0)
            ::close(this->socket);
        this->socket = -1;
    }

    int socket;
    std::string buffer;

private:
    bool fill(Clock::time_point until)
    {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd ready{this->socket, POLLIN, 0};
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const auto size = ::recv(this->socket, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        this->buffer.append(bytes, static_cast<size_t>(size));
        return true;
    }
};

/// Accepts connections and runs a function for each in a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(std::shared_ptr<Connection>)>;

    Listener(const std::string &ip, Serve serve, int port = 0) : serve(std::move(serve))
    {
        this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::bind(this->socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 ||
            ::listen(this->socket, 1024) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof address;
        ::getsockname(this->socket, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        std::thread([this] { this->accept(); }).detach();
    }

    /// Refuses new connections and resets all open ones, as the end of a process does.
    void end()
    {
        ::shutdown(this->socket, SHUT_RDWR);
        ::close(this->socket);
        const std::lock_guard lock(this->mutex);
        for (const auto &weak : this->connections) {
            if (const auto connection = weak.lock()) {
                linger option{1, 0};
                ::setsockopt(connection->socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
                connection->shutdown();
            }
        }
    }

    /// Refuses new connections.
    void refuse()
    {
        ::shutdown(this->socket, SHUT_RDWR);
        ::close(this->socket);
    }

    int port = 0;

private:
    void accept()
    {
        while (true) {
            const int accepted = ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            auto connection = std::make_shared<Connection>(accepted);
            {
                const std::lock_guard lock(this->mutex);
                this->connections.push_back(connection);
            }
            std::thread([this, connection] { this->serve(connection); }).detach();
        }
    }

    Serve serve;
    int socket;
    std::mutex mutex;
    std::vector<std::weak_ptr<Connection>> connections;
};

inline std::string answer(const std::string &status, const std::string &body,
                          const std::string &headerLines = "")
{
    return "HTTP/1.1 " + status + "\r\n" + headerLines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's metadata store. Each gateway or steward gets a port of its own, so that the store
/// can tell them apart.
class Store
{
public:
    /// What happens to a watch that waits.
    enum class WatchFate { Wait, Cut, Silence };

    Store(std::string ip, Record &record) : ip(std::move(ip)), record(record) {}

    /// Opens a port for the calls of one process.
    int open(const std::string &caller)
    {
        this->listeners.push_back(std::make_unique<Listener>(
            this->ip, [this, caller](std::shared_ptr<Connection> connection) {
                while (auto request = connection->read()) {
                    if (!this->handle(caller, *request, *connection))
                        return;
                }
            }));
        return this->listeners.back()->port;
    }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(this->mutex);
        this->write(kind, name, json::parse(spec));
        this->record.line("store: put %s/%s, acknowledged at revision %lu", kind.c_str(),
                          name.c_str(), static_cast<unsigned long>(this->revision));
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        auto object = this->objects[kind][name];
        this->objects[kind].erase(name);
        this->changes.push_back({++this->revision, kind, true, object});
        this->changed.notify_all();
        this->record.line("store: removed %s/%s, acknowledged at revision %lu", kind.c_str(),
                          name.c_str(), static_cast<unsigned long>(this->revision));
    }

    /// Closes the connections of all watches of this kind that wait now.
    void cutWatches(const std::string &kind)
    {
        const std::lock_guard lock(this->mutex);
        this->cutKind = kind;
        ++this->cutRound;
        this->changed.notify_all();
    }

    /// The answer of the next watch of this kind that has an event is lost, for each of this many
    /// watches; the connection returns nothing further.
    void loseAnswers(const std::string &kind, int count)
    {
        const std::lock_guard lock(this->mutex);
        this->lostKind = kind;
        this->lostLeft = count;
    }

    /// Time at which the caller began its last watch of this kind; nothing if it has begun none.
    std::optional<double> lastWatchBy(const std::string &caller, const std::string &kind)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->lastWatch.find({caller, kind});
        return found == this->lastWatch.end() ? std::nullopt : std::optional(found->second);
    }

    /// Accepts this caller's calls and answers none of them, also those that wait now.
    void silence(const std::string &caller, bool isSilent)
    {
        const std::lock_guard lock(this->mutex);
        this->record.line("store: %s %s", isSilent ? "stops answering" : "answers again",
                          caller.c_str());
        if (isSilent)
            this->silenced.insert(caller);
        else
            this->silenced.erase(caller);
    }

private:
    struct Change
    {
        uint64_t revision;
        std::string kind;
        bool removed;
        json::value object;
    };

    json::value &write(const std::string &kind, const std::string &name, json::value spec)
    {
        ++this->revision;
        auto &object = this->objects[kind][name];
        const json::value created =
            object.is_object() ? object.at("metadata").at("create_revision") : this->revision;
        object = {{"metadata",
                   {{"name", name},
                    {"revision", this->revision},
                    {"create_revision", created},
                    {"finalizers", json::array()},
                    {"deleting", false}}},
                  {"spec", std::move(spec)},
                  {"status", nullptr}};
        this->changes.push_back({this->revision, kind, false, object});
        this->changed.notify_all();
        return object;
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return "";
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    bool isSilent(const std::string &caller)
    {
        const std::lock_guard lock(this->mutex);
        return this->silenced.contains(caller);
    }

    /// Keeps a connection that returns nothing further, until the caller closes it.
    static bool holdSilently(Connection &connection)
    {
        while (!connection.isPeerGone())
            sleepMs(20);
        return false;
    }

    /// Returns false if the connection is not to be used further.
    bool handle(const std::string &caller, const Message &request, Connection &connection)
    {
        if (this->isSilent(caller))
            return holdSilently(connection);
        const std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0)
            return connection.send(answer("404 Not Found", "{}"));
        path.erase(0, prefix.size());
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const std::string json = "Content-Type: application/json\r\n";
        if (const auto watch = query(target, "watch"); !watch.empty())
            return this->watch(caller, kind, std::stoull(watch),
                               std::stoi(query(target, "wait_ms")), connection);
        std::unique_lock lock(this->mutex);
        if (request.method() == "GET" && name.empty()) {
            json::array items;
            const auto after = query(target, "after");
            for (const auto &[key, object] : this->objects[kind]) {
                if (key > after)
                    items.push_back(object);
            }
            const json::value list = {
                {"items", items}, {"more", false}, {"current_rev", this->revision}};
            return connection.send(answer("200 OK", json::serialize(list), json));
        }
        if (request.method() == "GET") {
            const auto found = this->objects[kind].find(name);
            if (found == this->objects[kind].end())
                return connection.send(answer("404 Not Found", "{}", json));
            return connection.send(answer("200 OK", json::serialize(found->second), json));
        }
        const auto body = json::parse(request.body);
        const auto &metadata = body.at("metadata").as_object();
        if (name.empty())
            name = metadata.at("name").as_string().c_str();
        const auto found = this->objects[kind].find(name);
        const bool exists = found != this->objects[kind].end();
        if (request.method() == "POST" ? exists : !exists) {
            return connection.send(
                exists ? answer("409 Conflict", json::serialize(found->second), json)
                       : answer("404 Not Found", "{}", json));
        }
        if (exists && metadata.contains("revision") &&
            metadata.at("revision").to_number<uint64_t>() !=
                found->second.at("metadata").at("revision").to_number<uint64_t>())
            return connection.send(answer("409 Conflict", json::serialize(found->second), json));
        const auto &object = this->write(kind, name, body.at("spec"));
        return connection.send(answer("200 OK", json::serialize(object), json));
    }

    bool watch(const std::string &caller, const std::string &kind, uint64_t from, int waitMs,
               Connection &connection)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        std::unique_lock lock(this->mutex);
        this->lastWatch[{caller, kind}] = seconds();
        const int round = this->cutRound;
        json::array events;
        while (true) {
            for (const auto &change : this->changes) {
                if (change.revision > from && change.kind == kind)
                    events.push_back({{"object", change.object}, {"removed", change.removed}});
            }
            if (!events.empty() || Clock::now() >= until)
                break;
            this->changed.wait_until(lock, until);
            if (this->silenced.contains(caller)) {
                lock.unlock();
                return holdSilently(connection);
            }
            if (this->cutRound != round && this->cutKind == kind) {
                this->record.line("store: cuts off the waiting watch of kind %s of %s",
                                  kind.c_str(), caller.c_str());
                return false;
            }
        }
        if (!events.empty() && this->lostKind == kind && this->lostLeft > 0) {
            --this->lostLeft;
            this->record.line("store: the answer to the watch of kind %s of %s is lost",
                              kind.c_str(), caller.c_str());
            lock.unlock();
            return holdSilently(connection);
        }
        const json::value list = {{"events", events}, {"current_rev", this->revision}};
        lock.unlock();
        return connection.send(
            answer("200 OK", json::serialize(list), "Content-Type: application/json\r\n"));
    }

    const std::string ip;
    Record &record;
    std::vector<std::unique_ptr<Listener>> listeners;
    std::mutex mutex;
    std::condition_variable changed;
    uint64_t revision = 100;
    std::map<std::string, std::map<std::string, json::value>> objects;
    std::vector<Change> changes;
    std::map<std::pair<std::string, std::string>, double> lastWatch;
    std::set<std::string> silenced;
    std::string cutKind;
    int cutRound = 0;
    std::string lostKind;
    int lostLeft = 0;
};

/// An engine of a plain service. It answers each request after its work time, with the seal and the
/// id of the request, and rejects requests that expect another instance.
class Engine
{
public:
    Engine(std::string id, const std::string &ip, Record &record)
        : id(std::move(id)), record(record),
          listener(std::make_unique<Listener>(
              ip, [this](std::shared_ptr<Connection> connection) { this->serve(connection); })),
          address(ip + ":" + std::to_string(this->listener->port))
    {}

    std::string entry(const std::string &service, const std::string &zone,
                      const std::string &state = "ready") const
    {
        return R"({"service":")" + service + R"(","address":")" + this->address + R"(","zone":")" +
               zone + R"(","version":"v1","slots":64,"state":")" + state +
               R"(","cold_left_ms":0,"sequence":0,"born":)" + std::to_string(this->born) + "}";
    }

    /// Ends the engine with whatever it is running.
    void end()
    {
        this->ended = true;
        this->record.line("engine %s: exits", this->id.c_str());
        this->listener->end();
    }

    struct Run
    {
        double at;
        std::string requestId;
        std::string target;
        std::string body;
        bool completed;
    };

    std::vector<Run> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->ran;
    }

    const std::string id;
    std::atomic<int> workMs{20};
    std::atomic<bool> leaving{false};

private:
    void serve(const std::shared_ptr<Connection> &connection)
    {
        while (auto request = connection->read()) {
            const std::string requestId = request->header("Marjoramtray-Request-Id");
            const std::string common = "Marjoramtray-Request-Id: " + requestId + "\r\n" +
                                       (this->leaving ? "Server-Leaving: 1\r\n" : "");
            const std::string expected = request->header("Marjoramtray-Expect-Instance");
            if (!expected.empty() && expected != this->id) {
                this->record.line("engine %s: rejects %s with 421", this->id.c_str(),
                                  requestId.c_str());
                connection->send(answer("421 Misdirected Request", "", common));
                continue;
            }
            this->record.line("engine %s: runs %s (%s, body of %zu bytes)", this->id.c_str(),
                              requestId.c_str(), request->start.c_str(), request->body.size());
            size_t index;
            {
                const std::lock_guard lock(this->mutex);
                index = this->ran.size();
                this->ran.push_back(
                    {seconds(), requestId, request->target(), request->body, false});
            }
            sleepMs(this->workMs);
            if (this->ended) {
                this->record.line("engine %s: has ended before the end of %s", this->id.c_str(),
                                  requestId.c_str());
                return;
            }
            connection->send(
                answer("200 OK", "answer to " + requestId,
                       common + "Marjoramtray-Response-Seal: s." + requestId + "\r\n"));
            this->record.line("engine %s: has answered %s", this->id.c_str(), requestId.c_str());
            const std::lock_guard lock(this->mutex);
            this->ran[index].completed = true;
        }
    }

    Record &record;
    const uint64_t born =
        static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count());
    std::unique_ptr<Listener> listener;
    const std::string address;
    std::atomic<bool> ended{false};
    std::mutex mutex;
    std::vector<Run> ran;
};

/// A gateway process, started with the command of the deploy file.
class Gateway
{
public:
    Gateway(const std::string &name, const std::string &ip, const std::string &zone,
            const std::string &storeIp, int storePort, const std::string &folder, Record &record)
        : name(name), ip(ip), record(record)
    {
        this->port = freePort(ip, SOCK_STREAM);
        this->readinessPort = freePort(ip, SOCK_STREAM);
        const int inner = InnerPort;
        const std::string file = folder + "/" + name + ".json";
        std::ofstream(file)
            << R"({"node_name":")" << name << R"(","role":"gateway","machine_class":"front",)"
            << R"("serves":["front"],"ip":")" << ip << R"(","zone":")" << zone
            << R"(","region":"r1","zones":{"z1":"r1","z2":"r1"},"listen":{"front":")" << ip << ":"
            << this->port << R"(","readiness_addr":")" << ip << ":" << this->readinessPort
            << R"("},"inner_port_range":[)" << inner << "," << inner + 15
            << R"(],"seeds":[],"bootstrap":true,"limits":{"cpu_share":0.19,"cores":1,)"
            << R"("memory_mb":260,"max_fds":4100},"data_dir":null,"bounds":{"drain_ms":3000,)"
            << R"("grace_s":8,"config_apply_ms":3000,"stable_window_ms":4000,"budget_ratio":0.2,)"
            << R"("budget_window_s":10,"budget_slack":58,"ceiling_window_s":5,"ceiling_over":1.1},)"
            << R"("platform":{"address":")" << storeIp << ":" << storePort
            << R"(","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20}})";
        const std::string log = folder + "/" + name + ".log";
        this->pid = ::fork();
        if (this->pid == 0) {
            // The gateway ends with the program, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("MARJORAMTRAY_NODE_FILE", file.c_str(), 1);
            ::execl("target/bin/tray-gateway", "target/bin/tray-gateway", nullptr);
            std::_Exit(127);
        }
        record.line("gateway %s: started at %s:%d", name.c_str(), ip.c_str(), this->port);
    }

    ~Gateway() { this->kill(); }

    /// Waits until the gateway says that it is ready.
    bool awaitReady()
    {
        for (int i = 0; i < 200; ++i) {
            if (auto connection = Connection::open(this->ip, this->readinessPort)) {
                connection->send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                const auto reply = connection->read(1000);
                if (reply && reply->status() == 200) {
                    this->record.line("gateway %s: is ready", this->name.c_str());
                    return true;
                }
            }
            sleepMs(50);
        }
        return false;
    }

    /// Whether the gateway answers a question for its readiness within a second.
    bool answersReadiness() const
    {
        const auto connection = Connection::open(this->ip, this->readinessPort);
        return connection && connection->send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
               connection->read(1000).has_value();
    }

    std::unique_ptr<Connection> connect() const { return Connection::open(this->ip, this->port); }

    void signal(int number) const { ::kill(this->pid, number); }

    pid_t processId() const { return this->pid; }

    /// Memory that the process occupies, in MB (10^6 bytes); 0 if it has ended.
    double residentMb() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
        long total = 0;
        long resident = 0;
        if (this->pid <= 0 || !(file >> total >> resident))
            return 0;
        return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    }

    /// Whether the process still runs.
    bool runs()
    {
        if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
            this->pid = 0;
        return this->pid > 0;
    }

    void kill()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }

    static int freePort(const std::string &ip, int type)
    {
        const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
        socklen_t size = sizeof address;
        ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(socket);
        return ntohs(address.sin_port);
    }

    const std::string name;
    const std::string ip;
    int port = 0;

    /// First port for communication between the system's processes; the same on all machines.
    static inline const int InnerPort = freePort("127.0.0.1", SOCK_DGRAM);

private:
    Record &record;
    int readinessPort = 0;
    pid_t pid = 0;
};

/// A request as a client sends it.
inline std::string request(const std::string &method, const std::string &target,
                           const std::string &id, const std::string &body = "",
                           int deadlineMs = 4000)
{
    std::string text = method + " " + target +
                       " HTTP/1.1\r\nHost: shop.example\r\nMarjoramtray-Request-Id: " + id +
                       "\r\nMarjoramtray-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// Loopback addresses that differ between processes of this program.
inline std::string loopback(int host)
{
    const int pid = ::getpid();
    return "127." + std::to_string(64 + pid / 250 % 128) + "." + std::to_string(1 + pid % 250) +
           "." + std::to_string(host);
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

/// Ends the program without waiting for its threads.
[[noreturn]] inline void finish(Record &record, int status, const std::string &verdict)
{
    record.line("result: %s", verdict.c_str());
    std::printf("%s\n", verdict.c_str());
    std::fflush(nullptr);
    std::_Exit(status);
}

} // namespace review
