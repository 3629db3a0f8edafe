// Stand-ins and helpers for the cases of this review: the platform's store, engines, clients, and
// the project's own programs as child processes. Everything runs on loopback addresses and the real
// clock.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the case.
int64_t nowMs();
void sleepMs(int64_t ms);
void sleepUntil(int64_t ms);
uint64_t wallMs();
std::string hexId();

/// Appends a line with the time to record.txt.
void record(const std::string &line);

struct Address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string header(const Headers &headers, std::string_view name);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string get(std::string_view name) const { return header(headers, name); }
};

/// A connection of a server or of a client.
class Connection
{
public:
    explicit Connection(int fd) : fd(fd) {}
    ~Connection();
    Connection(const Connection &) = delete;

    bool write(std::string_view bytes);
    bool readRequest(Request &request);
    /// Reads a status line and headers.
    bool readHead(int &status, Headers &headers, int64_t timeoutMs);
    /// Reads the next bytes of the body; empty at its end. Returns false if the body breaks off or
    /// the time is over.
    bool readBody(std::string &piece, int64_t timeoutMs);
    /// Whether the peer has closed the connection.
    bool isPeerGone();
    void reset();
    void closeNow();

private:
    bool fill(int64_t timeoutMs);
    bool readLine(std::string &line, int64_t timeoutMs);

    std::mutex mutex;
    int fd;
    std::string buffer;
    // Rest of the body's present part; -1 if the body ends with the connection.
    int64_t left = 0;
    bool isChunked = false;
    bool isAtEnd = false;
};

/// An HTTP server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<bool(Request &, Connection &)>;
    /// Connections beyond the given number are reset.
    Server(Address address, Handler handler, size_t maxConnections = 100000);
    ~Server();
    /// Closes the listener and resets all connections, those that are open now after the given
    /// time.
    void stop(int64_t resetAfterMs = 0);
    /// Listens again.
    void start(int64_t resetAfterMs = 0);
    /// Like a host without power: new connections are not established, open ones stay silent.
    void goDark();
    const Address address;

private:
    void listenOn(int backlog);
    void acceptLoop(int listener);

    Handler handler;
    const size_t maxConnections;
    std::mutex mutex;
    int listener = -1;
    std::vector<int> fillers;
    std::set<std::shared_ptr<Connection>> connections;
};

bool respond(Connection &connection, int status, const Headers &headers, const std::string &body);

/// The platform's store, as PROTOCOL.md describes it.
class Store
{
public:
    explicit Store(Address address);
    /// Writes an object as the operator or an engine does.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Silent: accepts calls and answers none.
    std::atomic<bool> isSilent{false};
    const Address address;

private:
    struct Object
    {
        uint64_t revision = 0;
        uint64_t created = 0;
        std::string spec = "null";
    };
    struct Event
    {
        uint64_t revision;
        std::string kind;
        std::string text;
    };

    bool handle(Request &request, Connection &connection);
    std::string describe(const std::string &name, const Object &object) const;
    void change(const std::string &kind, const std::string &name, const std::string *spec);

    std::mutex mutex;
    std::condition_variable changed;
    uint64_t revision = 100;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Event> events;
    std::unique_ptr<Server> server;
};

/// Minimal access to JSON: returns the raw text of a member of an object, found by a path of names.
std::optional<std::string> jsonMember(const std::string &text,
                                      const std::vector<std::string> &path);
std::string jsonString(const std::string &text);

/// An engine or plain back end.
class Engine
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone = "costa-a";
        std::string version = "v1";
        Address address;
        std::vector<std::string> models;
        bool isModelEngine = false;
        size_t maxConnections = 370;
        int events = 40;
        int eventGapMs = 250;
        int workMs = 30;
        int loadMs = 2000;
    };
    /// Called for each request that begins to run.
    using RunHook = std::function<void(const Engine &, const Request &)>;
    Engine(Store &store, Settings settings, RunHook onRun = {});
    ~Engine();

    void crash();
    void goDark();
    /// Starts again under the same id. The first beat is written after the given time. Connections
    /// of the incarnation before are reset when a peer's packet reaches the host again, such as the
    /// probe of a keep-alive.
    void restart(const std::string &version, int64_t firstBeatAfterMs, int64_t resetAfterMs = 0);
    Settings settings;

private:
    bool handle(Request &request, Connection &connection);
    bool stream(Request &request, Connection &connection);
    std::string entry();
    void beat();

    Store &store;
    RunHook onRun;
    std::mutex mutex;
    uint64_t bornMs = wallMs();
    uint64_t sequence = 0;
    uint64_t highestFence = 0;
    std::string loading;
    int64_t loadedAt = 0;
    std::atomic<bool> isUp{true};
    std::atomic<uint64_t> incarnation{1};
    std::atomic<int64_t> nextBeatAt{0};
    std::atomic<bool> isEnding{false};
    std::unique_ptr<Server> server;
    std::thread beats;
};

/// One of the project's programs.
class Program
{
public:
    Program(std::string path, std::string name, std::string settings);
    ~Program();
    void start();
    void signal(int number);
    /// Waits for the end of the process. Returns false if it runs on.
    bool waitForEnd(int64_t timeoutMs);
    bool isRunning();
    int pid() const { return this->child; }

private:
    std::string path;
    std::string name;
    std::string settingsFile;
    int child = -1;
};

/// Addresses and settings of a small deployment.
struct Site
{
    Site();
    std::string ipOf(int host) const;
    Address gatewayFront(int gateway) const { return {ipOf(gateway), frontPort}; }
    std::string gatewaySettings(int gateway, const std::string &zone = "costa-a") const;
    std::string stewardSettings(int host, const Engine::Settings &engine) const;
    std::unique_ptr<Program> gateway(int gateway) const;
    std::unique_ptr<Program> steward(int host, const Engine::Settings &engine) const;
    bool isReady(int gateway) const;
    bool awaitReady(int gateway, int64_t timeoutMs) const;

    std::string prefix;
    Address store;
    int frontPort;
    int readinessPort;
    int innerPort;
    int enginePort;
};

/// What a client got.
struct Answer
{
    /// 0 if there was none.
    int status = 0;
    Headers headers;
    std::string body;
    bool isWhole = false;
    bool wasConnected = false;
};

struct StreamEvent
{
    int64_t id = 0;
    std::string text;
};

/// Opens a connection; null if that fails within the time.
std::unique_ptr<Connection> dial(const Address &address, int64_t timeoutMs = 1000);
std::string formatRequest(const std::string &method, const std::string &target,
                          const Headers &headers, const std::string &body);
Answer call(const Address &address, const std::string &method, const std::string &target,
            const Headers &headers, const std::string &body, int64_t timeoutMs);
/// Reads the events of a stream until it ends, breaks off, an event does not come within gapMs, or
/// the hook returns false.
Answer openStream(const Address &address, const std::string &target, const Headers &headers,
                  int64_t timeoutMs, int64_t gapMs,
                  const std::function<bool(const StreamEvent &)> &onEvent);

/// Reads TROUBLE.
bool hasTrouble();
/// Ends all programs that were started, removes the temporary folder and ends this process.
[[noreturn]] void finish(int status);
/// Ends with exit status 2.
[[noreturn]] void cannotRun(const std::string &reason);

} // namespace rig
