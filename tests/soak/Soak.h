// Randomized soak: real gateways between callers and back ends, under faults that come in series
// and overlap.
//
// Gateways run as processes of their own. The store, the upstreams and the callers live in the
// test; everything between them and the gateways passes through loopback relays that delay, cut and
// silence connections. What is checked is only what callers and upstreams see.
#pragma once

#include "Relay.h"
#include "StoreStandIn.h"
#include "UpstreamStandIn.h"
#include "base/EnumNames.h"
#include "net/HttpClient.h"
#include "process/ProcessRig.h"

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

    explicit Soak(uint64_t seed);

    /// Plays the faults that follow from the seed, and checks.
    void run();

    /// Promises that were broken; empty after a good run.
    const std::vector<std::string> &violations() const { return this->broken; }
    /// The faults in their order, for the report of a failure.
    std::string history() const;

private:
    static constexpr int Gateways = 2;
    static constexpr int Upstreams = 3;
    static constexpr int CallersPerGateway = 4;

    /// What may be asked for; each is a route of the configuration.
    enum class Kind : uint8_t { Look, Take, Tell, Retell };

    /// One fault of the plan that follows from the seed.
    struct Fault
    {
        Duration after{};
        FaultKind kind = FaultKind::KillGateway;
        int gateway = 0;
        int upstream = 0;
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
        std::unique_ptr<UpstreamStandIn> server;
        std::unique_ptr<Relay> relay;
        Address address;
        bool listed = true;
        // Time since which no gateway that hears the store may send to it; none while it is listed.
        std::optional<Instant> forbiddenSince;
    };

    void startUpstream(int index);
    void startGateway(int index);
    void list(const Upstream &upstream);
    void writeConfig();
    boost::asio::awaitable<void> callLoop(int gateway);
    boost::asio::awaitable<void> callOnce(HttpClient &client, int gateway, Kind kind);
    boost::asio::awaitable<void> faultLoop();
    boost::asio::awaitable<void> play(Fault fault);
    boost::asio::awaitable<void> playOnGateway(Fault fault);
    boost::asio::awaitable<void> playOnUpstream(Fault fault);
    boost::asio::awaitable<void> playOnStore(Fault fault);
    static std::vector<Fault> planFaults(uint64_t seed);
    boost::asio::awaitable<void> stopAndStart(int gateway);
    boost::asio::awaitable<void> awaitReady(int gateway, std::string when);
    UpstreamReply serve(size_t index, const HttpRequest &request);

    void judge(const std::string &id, Kind kind, const HttpResponse &response);
    void judgeAtEnd();
    void violate(const std::string &text);
    void note(const std::string &text);
    int pick(int low, int high);
    static std::string nameOf(Kind kind);
    static std::string expectedBody(const std::string &id, Kind kind);
    static std::string gatewayName(int index);

    const uint64_t seed;
    const std::vector<Fault> faults;
    // Draws what callers and upstreams do. Its draws depend on timing, so the faults have their
    // own.
    std::mt19937_64 random;
    boost::asio::io_context context;
    ProcessRig rig;
    Metrics metrics;
    StoreStandIn store;
    std::unique_ptr<Relay> storeRelay;
    Address storeAddress;
    std::vector<Upstream> upstreams;
    std::vector<std::string> past;
    std::vector<std::string> broken;
    std::map<std::string, Executions> executions;
    // Gateways that were told to stop and have not ended.
    std::set<int> stopping;
    // Requests that were told that they did not run.
    std::set<std::string> refused;
    // Last time at which the store may have been unheard.
    Instant storeDisturbedUntil{};
    Instant began{};
    uint64_t nextRequest = 1;
    uint64_t nextUpstream = 1;
    uint64_t version = 1;
    int served = 0;
    bool calling = true;
};

} // namespace tray::test
