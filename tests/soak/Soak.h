// Randomized soak: real gateways between callers and back ends, under faults that come in series
// and overlap.
//
// Gateways and stewards run as processes of their own. The store, the upstreams, the model engines
// and the callers live in the test; everything between them and the processes passes through
// loopback relays that delay, cut and silence connections. What is checked is only what callers,
// upstreams and engines see.
#pragma once

#include "Relay.h"
#include "StubStore.h"
#include "StubUpstream.h"
#include "base/EnumNames.h"
#include "net/HttpClient.h"
#include "process/ProcessRig.h"
#include "soak/ModelEngine.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <set>

namespace tray::test {

/// What is done to the system from outside.
enum class FaultKind : uint8_t {
    KillGateway,
    StopGateway,
    PauseGateway,
    CutUpstream,
    SilenceUpstream,
    DelayUpstream,
    CutStore,
    SilenceStore,
    RefuseAtStore,
    ChangeConfig,
    ForgetHistory,
    RemoveUpstream,
    KillSteward,
    StopSteward,
    PauseSteward,
    CrashEngine,
    CutEngine,
    SilenceEngine,
    DelayEngine,
};

/// Which faults a soak draws from.
enum class SoakPlan : uint8_t {
    AllFaults,
    /// Stops, changes of the configuration and removals of upstreams in quick series. Nothing else
    /// goes wrong, so that a request that was read has no excuse to stay without an answer.
    PlannedStops,
};

} // namespace tray::test

namespace tray {

template <>
struct EnumNames<test::FaultKind>
{
    static constexpr auto Table = std::to_array<EnumName<test::FaultKind>>({
        {test::FaultKind::KillGateway, "kill"},
        {test::FaultKind::StopGateway, "stop"},
        {test::FaultKind::PauseGateway, "pause"},
        {test::FaultKind::CutUpstream, "cut_upstream"},
        {test::FaultKind::SilenceUpstream, "silence_upstream"},
        {test::FaultKind::DelayUpstream, "delay_upstream"},
        {test::FaultKind::CutStore, "cut_store"},
        {test::FaultKind::SilenceStore, "silence_store"},
        {test::FaultKind::RefuseAtStore, "refuse_at_store"},
        {test::FaultKind::ChangeConfig, "change_config"},
        {test::FaultKind::ForgetHistory, "forget_history"},
        {test::FaultKind::RemoveUpstream, "remove_upstream"},
        {test::FaultKind::KillSteward, "kill_steward"},
        {test::FaultKind::StopSteward, "stop_steward"},
        {test::FaultKind::PauseSteward, "pause_steward"},
        {test::FaultKind::CrashEngine, "crash_engine"},
        {test::FaultKind::CutEngine, "cut_engine"},
        {test::FaultKind::SilenceEngine, "silence_engine"},
        {test::FaultKind::DelayEngine, "delay_engine"},
    });
};

} // namespace tray

namespace tray::test {

class Soak
{
public:
    /// Time in which faults begin, and the time after which all must be as before.
    static constexpr Duration FaultTime = std::chrono::seconds(12);
    static constexpr Duration RecoveryTime = std::chrono::seconds(8);
    static constexpr Duration PlannedTime = std::chrono::seconds(7);

    Soak(SoakPlan plan, uint64_t seed);

    /// Plays the faults that follow from the seed, and checks.
    void run();

    /// Promises that were broken; empty after a good run.
    const std::vector<std::string> &violations() const { return this->broken; }
    /// The faults in their order, for the report of a failure.
    std::string history() const;

private:
    static constexpr int Gateways = 2;
    static constexpr int Upstreams = 3;
    static constexpr int Engines = 3;
    /// Callers that only ask models; most ask for the favourite, which changes.
    static constexpr int ModelCallersPerGateway = 4;
    /// While only stops are played, models are asked for so often that requests wait for longer
    /// than a stop lasts.
    static constexpr int WaitingCallersPerGateway = 24;
    static constexpr Duration FavouriteTime = std::chrono::seconds(3);
    static constexpr int CallersPerGateway = 4;

    /// What may be asked for; each is a route of the configuration.
    enum class Kind : uint8_t { Look, Take, Tell, Retell, Ask, Reask };
    static constexpr int Kinds = 6;

    /// One fault of the plan that follows from the seed.
    struct Fault
    {
        // Counted from the first one.
        Duration at{};
        FaultKind kind = FaultKind::KillGateway;
        int gateway = 0;
        int upstream = 0;
        int engine = 0;
        // A crashed engine returns under its old name.
        bool keepsName = false;
        Duration length{};
    };

    /// What the upstreams know of one request.
    struct Executions
    {
        int count = 0;
        Kind kind = Kind::Look;
    };

    /// A back end behind its own relay.
    struct Upstream
    {
        std::string id;
        std::unique_ptr<StubUpstream> server;
        std::unique_ptr<Relay> relay;
        Address address;
        bool listed = true;
        // Time since which no gateway that hears the store may send to it; none while it is listed.
        std::optional<Instant> forbiddenSince;
    };

    /// An engine behind one relay for gateways and one for its steward.
    struct Engine
    {
        std::unique_ptr<ModelEngine> server;
        std::unique_ptr<Relay> relay;
        std::unique_ptr<Relay> stewardRelay;
        Address address;
        Address stewardAddress;
        bool crashed = false;
    };

    void startUpstream(int index);
    void startEngine(int index);
    void startSteward(int index);
    void list(const Engine &engine);
    void startGateway(int index);
    void list(const Upstream &upstream);
    void writeConfig();
    boost::asio::awaitable<void> callLoop(int gateway, bool onlyModels);
    boost::asio::awaitable<void> callOnce(HttpClient &client, int gateway, Kind kind,
                                          std::string model = "");
    boost::asio::awaitable<void> faultLoop();
    boost::asio::awaitable<void> play(Fault fault);
    boost::asio::awaitable<void> playAndCount(Fault fault);
    /// Waits until a count is down to 0, but no longer than the limit.
    static boost::asio::awaitable<void> awaitNone(const int &count, Duration limit);
    boost::asio::awaitable<void> playOnProcess(std::string name, int signal, Duration length);
    boost::asio::awaitable<void> playOnUpstream(Fault fault);
    boost::asio::awaitable<void> playOnStore(Fault fault);
    boost::asio::awaitable<void> playOnEngine(Fault fault);
    boost::asio::awaitable<void> crashEngine(Fault fault);
    static std::vector<Fault> planFaults(SoakPlan plan, uint64_t seed);
    static std::vector<Fault> planStops(uint64_t seed);
    boost::asio::awaitable<void> stopAndStart(std::string name);
    boost::asio::awaitable<void> awaitReady(int gateway, std::string when);
    boost::asio::awaitable<void> checkModels(int gateway);
    StubReply serve(size_t index, const HttpRequest &request);
    /// Runs a request for a model.
    StubReply runModel(const HttpRequest &request);
    /// A stream from after the last event that the caller has, which may break.
    StubReply streamFor(const HttpRequest &request);

    void judge(const std::string &id, Kind kind, const HttpResponse &response);
    /// A request ended without an answer that may be due to none but planned work.
    void judgeUnanswered(const std::string &id, Kind kind, const Error &reason, Duration waited);
    boost::asio::awaitable<void> recover();
    void judgeAtEnd();
    void violate(const std::string &text);
    void note(const std::string &text);
    int pick(int low, int high);
    static std::string nameOf(Kind kind);
    static std::string expectedBody(const std::string &id, Kind kind);
    static std::string gatewayName(int index);
    static std::string stewardName(int index);
    std::string newModel();
    static bool isModelKind(Kind kind);
    /// Time that a caller has for a request.
    Duration patienceFor(Kind kind) const;
    Duration stopGrace() const;

    const SoakPlan plan;
    const uint64_t seed;
    const std::vector<Fault> faults;
    // Draws what callers and upstreams do. Its draws depend on timing, so the faults have their
    // own.
    std::mt19937_64 random;
    boost::asio::io_context context;
    ProcessRig rig;
    Metrics metrics;
    StubStore store;
    std::unique_ptr<Relay> storeRelay;
    Address storeAddress;
    std::vector<Upstream> upstreams;
    std::vector<Engine> engines;
    std::vector<std::string> past;
    std::vector<std::string> broken;
    std::map<std::string, Executions> executions;
    // Processes that were told to stop and have not ended.
    std::set<std::string> stopping;
    // Requests that were told that they did not run.
    std::set<std::string> refused;
    // Last time at which the store may have been unheard.
    Instant storeDisturbedUntil{};
    Instant began{};
    uint64_t nextRequest = 1;
    uint64_t nextUpstream = 1;
    uint64_t nextEngine = 1;
    uint64_t version = 1;
    int served = 0;
    // Faults that have begun and not ended, and requests without an answer.
    int playing = 0;
    int waiting = 0;
    int servedByModels = 0;
    // Models that callers asked for, by request.
    std::map<std::string, std::string> asked;
    bool calling = true;
};

} // namespace tray::test
