// World, faults and checks of a soak.
#include "soak/Soak.h"

#include "net/Pause.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <fmt/format.h>

namespace tray::test {

namespace asio = boost::asio;

namespace {

constexpr int Events = 12;
// A leaving upstream gets no new work this long after the store has said so.
constexpr Duration LeaveBound = std::chrono::seconds(3);
// Longest time from a start to readiness: calls of the store and their repeats.
constexpr Duration ReadyBound = std::chrono::seconds(6);
constexpr Duration Patience = milliseconds(2500);
// Callers wait longer than the routes allow.
constexpr Duration CallerSlack = milliseconds(1500);
constexpr Duration RequestTimeout = Patience + CallerSlack;
// Requests that may wait for longer than a stop lasts.
constexpr Duration LongPatience = std::chrono::seconds(10);
constexpr Duration LongGrace = std::chrono::seconds(8);
constexpr Duration ShortGrace = std::chrono::seconds(4);
// A stop ends within the grace time that the settings give.
constexpr Duration StopBound = std::chrono::seconds(9);

// A connection that a stop closes without an answer ends within this time after its request was
// sent, unless the request was read: what the platform allows, and the delays of a busy machine.
constexpr Duration UnreadBound = milliseconds(400);

std::string eventOf(int id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

bool saysNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::string Soak::nameOf(Kind kind)
{
    switch (kind) {
    case Kind::Look:
        return "look";
    case Kind::Take:
        return "take";
    case Kind::Tell:
        return "tell";
    case Kind::Retell:
        return "retell";
    case Kind::Ask:
        return "ask";
    case Kind::Reask:
        return "reask";
    }
    return "";
}

std::string Soak::gatewayName(int index)
{
    return fmt::format("front-{}", index);
}

std::string Soak::stewardName(int index)
{
    return fmt::format("side-{}", index);
}

bool Soak::isModelKind(Kind kind)
{
    return kind == Kind::Ask || kind == Kind::Reask;
}

Duration Soak::patienceFor(Kind kind) const
{
    return this->plan == SoakPlan::PlannedStops && isModelKind(kind) ? LongPatience : Patience;
}

Duration Soak::stopGrace() const
{
    return this->plan == SoakPlan::PlannedStops ? ShortGrace : LongGrace;
}

std::string Soak::newModel()
{
    const int count = static_cast<int>(ModelEngine::models().size());
    if (this->pick(1, 4) == 1)
        return fmt::format("m{}", this->pick(1, count));
    const auto turn = (clockNow() - this->began) / FavouriteTime;
    return fmt::format("m{}", 1 + (this->seed + static_cast<uint64_t>(turn)) %
                                      static_cast<uint64_t>(count));
}

std::string Soak::expectedBody(const std::string &id, Kind kind)
{
    if (kind == Kind::Look || kind == Kind::Take)
        return "answer to " + id;
    std::string body;
    for (int event = 1; event <= Events; ++event)
        body += eventOf(event);
    return body;
}

Soak::Soak(SoakPlan plan, uint64_t seed)
    : plan(plan), seed(seed), faults(planFaults(plan, seed)), random(seed), store(this->context)
{
    this->storeRelay = std::make_unique<Relay>(this->context, proto::RelaySection(), this->metrics);
    this->storeAddress = value(this->storeRelay->forward({"127.0.0.1", 0}, this->store.listen()));
    this->upstreams.resize(Upstreams);
    for (int index = 0; index < Upstreams; ++index)
        this->startUpstream(index);
    this->writeConfig();
    for (int index = 0; index < Gateways; ++index)
        this->startGateway(index);
    this->engines.resize(Engines);
    for (int index = 0; index < Engines; ++index) {
        this->startEngine(index);
        this->startSteward(index);
    }
}

void Soak::writeConfig()
{
    std::string routes;
    for (const auto kind :
         {Kind::Look, Kind::Take, Kind::Tell, Kind::Retell, Kind::Ask, Kind::Reask}) {
        const bool isStream = kind != Kind::Look && kind != Kind::Take;
        const bool mayResume = kind == Kind::Retell || kind == Kind::Reask;
        const char *word = isStream ? "streaming" : kind == Kind::Look ? "safe" : "unsafe";
        const bool mayRepeat = kind == Kind::Look || mayResume;
        routes +=
            fmt::format(R"({}{{"name":"{}","host":"a.example","path_prefix":"/{}/","kind":"{}",)"
                        R"("timeout_ms":{},"max_attempts":{},"resumable":{},"service":"{}"}})",
                        routes.empty() ? "" : ",", nameOf(kind), nameOf(kind), word,
                        toMs(this->patienceFor(kind)), mayRepeat ? 2 : 1, mayResume,
                        isModelKind(kind) ? "brain" : "shop");
    }
    std::string models;
    for (const auto &[model, weightsMb] : ModelEngine::models())
        models += fmt::format(R"({}{{"name":"{}","weights_mb":{},"load_s":0.9,"warm_s":0.3,)"
                              R"("disk_s":0.3,"adapters":0,"adapter_mb":1}})",
                              models.empty() ? "" : ",", model, weightsMb);
    this->store.put(
        "config", "main",
        fmt::format(
            R"({{"version":{},"routes":[{}],"services":[{{"name":"shop","max_conns":200}},)"
            R"({{"name":"brain","max_conns":200,"engine":{{"weights_mb":{},"adapter_slots":0,)"
            R"("slots":4,"kv_cache_tokens":100000,"loads_per_s":2,"models":[{}]}}}}],)"
            R"("limits":{{"header_bytes":8192,"max_body_bytes":100000,)"
            R"("header_timeout_ms":2000,"idle_timeout_ms":5000}}}})",
            this->version++, routes, ModelEngine::MemoryMb, models));
}

void Soak::startUpstream(int index)
{
    auto &upstream = this->upstreams[static_cast<size_t>(index)];
    upstream.id = fmt::format("i-{}", this->nextUpstream++);
    upstream.forbiddenSince.reset();
    upstream.listed = true;
    if (!upstream.server) {
        upstream.server = std::make_unique<StubUpstream>(
            this->context, [this, index](const HttpRequest &request) {
                return this->serve(static_cast<size_t>(index), request);
            });
        upstream.relay =
            std::make_unique<Relay>(this->context, proto::RelaySection(), this->metrics);
        upstream.address =
            value(upstream.relay->forward({"127.0.0.1", 0}, upstream.server->listen()));
    }
    this->list(upstream);
}

void Soak::list(const Upstream &upstream)
{
    this->store.put("servers", upstream.id,
                    fmt::format(R"({{"service":"shop","address":"{}","zone":"z1","slots":16,)"
                                R"("state":"ready","sequence":1,"models":[]}})",
                                toString(upstream.address)));
}

void Soak::startGateway(int index)
{
    const std::string ip = this->rig.at(10 + index, 1).host;
    this->rig.start(gatewayName(index), "tray-gateway",
                    fmt::format(R"({{"node_name":"{}","ip":"{}","zone":"z1","region":"r1",)"
                                R"("zones":{{"z1":"r1"}},"inner_port_range":[7380,7395],)"
                                R"("listen":{{"front":"{}:8080","readiness_addr":"{}:8081"}},)"
                                R"("bounds":{{"grace_s":{},"budget_ratio":0.2,"budget_slack":58,)"
                                R"("budget_window_s":10}},"platform":{{"address":"{}"}}}})",
                                gatewayName(index), ip, ip, ip, toMs(this->stopGrace()) / 1000,
                                toString(this->storeAddress)));
}

StubReply Soak::serve(size_t index, const HttpRequest &request)
{
    const auto &upstream = this->upstreams[index];
    const std::string id(findHeader(request.headers, "Marjoramtray-Request-Id"));
    const auto notRun = [&](int status) -> StubReply {
        return {fmt::format("HTTP/1.1 {} X\r\nMarjoramtray-Not-Executed: 1\r\n"
                            "Marjoramtray-Request-Id: {}\r\nContent-Length: 0\r\n\r\n",
                            status, id)};
    };
    if (findHeader(request.headers, "Marjoramtray-Expect-Instance") != upstream.id)
        return notRun(421);
    const Instant now = clockNow();
    if (upstream.forbiddenSince && now > *upstream.forbiddenSince + LeaveBound &&
        now > this->storeDisturbedUntil + LeaveBound)
        this->violate(fmt::format("request {} reached {} after it had left", id, upstream.id));
    if (this->pick(1, 40) == 1)
        return notRun(503);
    Kind kind = Kind::Look;
    for (const auto candidate : {Kind::Take, Kind::Tell, Kind::Retell}) {
        if (request.target.starts_with("/" + nameOf(candidate) + "/"))
            kind = candidate;
    }
    auto &executed = this->executions[id];
    ++executed.count;
    executed.kind = kind;
    StubReply reply;
    reply.delay = milliseconds(this->pick(1, 60));
    if (kind == Kind::Look || kind == Kind::Take) {
        reply.bytes = StubUpstream::sealedAnswer(request, 200, expectedBody(id, kind));
        if (this->plan == SoakPlan::AllFaults && this->pick(1, 50) == 1) {
            // The answer is lost, or a part of it.
            reply.bytes.resize(static_cast<size_t>(this->pick(0, 1)) * reply.bytes.size() / 2);
            reply.reset = true;
        }
        return reply;
    }
    auto stream = this->streamFor(request);
    stream.delay = reply.delay;
    return stream;
}

StubReply Soak::streamFor(const HttpRequest &request)
{
    StubReply reply;
    const std::string last(findHeader(request.headers, "Last-Event-Id"));
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    // A stream that broke after its last event only lacks its end.
    const bool breaks =
        this->plan == SoakPlan::AllFaults && first <= Events && this->pick(1, 12) == 1;
    const int end = breaks ? this->pick(first, Events) : Events;
    reply.bytes = StubUpstream::sealedStreamHead(request);
    for (int event = first; event <= end; ++event)
        reply.bytes += StubUpstream::encodeChunk(eventOf(event));
    if (breaks) {
        reply.bytes += "4\r\nid";
        reply.reset = true;
    } else {
        reply.bytes += "0\r\n\r\n";
    }
    return reply;
}

asio::awaitable<void> Soak::callLoop(int gateway, bool onlyModels)
{
    HttpClient client(this->context);
    while (this->calling) {
        const auto kind = static_cast<Kind>(
            this->pick(static_cast<int>(onlyModels ? Kind::Ask : Kind::Look), Kinds - 1));
        co_await this->callOnce(client, gateway, kind);
        co_await pauseFor(milliseconds(this->pick(1, 25)));
    }
}

asio::awaitable<void> Soak::callOnce(HttpClient &client, int gateway, Kind kind, std::string model)
{
    const std::string id = fmt::format("r{}", this->nextRequest++);
    HttpRequest request;
    request.method = "POST";
    request.target = fmt::format("/{}/{}", nameOf(kind), id);
    request.headers = {{"Host", "a.example"},
                       {"Marjoramtray-Request-Id", id},
                       {"Marjoramtray-Deadline-Ms",
                        std::to_string(toMs(this->patienceFor(kind) + milliseconds(500)))}};
    request.body = "ask " + id;
    if (isModelKind(kind)) {
        auto &wanted = this->asked[id];
        wanted = model.empty() ? this->newModel() : model;
        request.headers.emplace_back("Marjoramtray-Model", wanted);
        request.headers.emplace_back("Marjoramtray-Token-Usage", "100,12");
    }
    const Address address{this->rig.at(10 + gateway, 1).host, 8080};
    const Instant sentAt = clockNow();
    ++this->waiting;
    const auto answer =
        co_await client.request(address, std::move(request), this->patienceFor(kind) + CallerSlack);
    --this->waiting;
    if (isOk(answer))
        this->judge(id, kind, value(answer));
    else if (this->plan == SoakPlan::PlannedStops)
        this->judgeUnanswered(id, kind, error(answer), clockNow() - sentAt);
}

void Soak::judge(const std::string &id, Kind kind, const HttpResponse &response)
{
    if (response.status == 200) {
        ++this->served;
        this->servedByModels += isModelKind(kind) ? 1 : 0;
        if (response.body != expectedBody(id, kind))
            this->violate(fmt::format("{} {} got a body of {} bytes that is not its own whole one",
                                      nameOf(kind), id, response.body.size()));
        if (findHeader(response.headers, "Marjoramtray-Response-Seal").empty())
            this->violate(fmt::format("{} {} was answered without a seal", nameOf(kind), id));
    } else if (saysNotRun(response.status)) {
        this->refused.insert(id);
    } else if (response.status == 404) {
        this->violate(fmt::format("{} {} was told that its route is not there", nameOf(kind), id));
    }
}

void Soak::judgeUnanswered(const std::string &id, Kind kind, const Error &reason, Duration waited)
{
    if (reason.kind == ErrorKind::UpstreamUnreachable)
        return;
    if (this->executions.contains(id))
        this->violate(fmt::format("{} {} was passed on and got no whole answer in {} ms: {}",
                                  nameOf(kind), id, toMs(waited), reason.message));
    else if (waited > UnreadBound)
        this->violate(fmt::format("{} {} got no answer in {} ms: {}", nameOf(kind), id,
                                  toMs(waited), reason.message));
}

std::vector<Soak::Fault> Soak::planStops(uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    constexpr auto Kinds =
        std::to_array({FaultKind::StopGateway, FaultKind::StopGateway, FaultKind::StopSteward,
                       FaultKind::ChangeConfig, FaultKind::RemoveUpstream});
    std::vector<Fault> faults;
    for (Duration at{}; at < PlannedTime;) {
        Fault fault;
        at += milliseconds(draw(50, 500));
        fault.at = at;
        fault.kind = Kinds[static_cast<size_t>(draw(0, static_cast<int>(Kinds.size()) - 1))];
        fault.gateway = draw(0, Gateways - 1);
        fault.upstream = draw(0, Upstreams - 1);
        fault.engine = draw(0, Engines - 1);
        fault.length = milliseconds(draw(100, 1000));
        faults.push_back(fault);
    }
    return faults;
}

std::vector<Soak::Fault> Soak::planFaults(SoakPlan plan, uint64_t seed)
{
    if (plan == SoakPlan::PlannedStops)
        return planStops(seed);
    std::mt19937_64 random(seed);
    const auto draw = [&](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    const int kinds = static_cast<int>(EnumNames<FaultKind>::Table.size());
    std::vector<Fault> faults;
    for (Duration at{}; at < FaultTime;) {
        Fault fault;
        at += milliseconds(draw(150, 1200));
        fault.at = at;
        fault.kind = EnumNames<FaultKind>::Table[static_cast<size_t>(draw(0, kinds - 1))].value;
        fault.gateway = draw(0, Gateways - 1);
        fault.upstream = draw(0, Upstreams - 1);
        fault.length = milliseconds(draw(100, 2500));
        fault.engine = draw(0, Engines - 1);
        fault.keepsName = draw(0, 1) == 1;
        faults.push_back(fault);
    }
    // Engines get most orders after they have come back empty.
    for (Duration at{}; at < FaultTime; at += milliseconds(draw(1000, 3000))) {
        Fault fault;
        fault.at = at;
        fault.kind = FaultKind::CrashEngine;
        fault.engine = draw(0, Engines - 1);
        fault.keepsName = draw(0, 1) == 1;
        fault.length = milliseconds(draw(100, 1000));
        faults.push_back(fault);
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &left, const Fault &right) { return left.at < right.at; });
    return faults;
}

asio::awaitable<void> Soak::faultLoop()
{
    const Instant first = clockNow();
    for (const auto &fault : this->faults) {
        co_await pauseFor(first + fault.at - clockNow());
        asio::co_spawn(this->context, this->playAndCount(fault), asio::detached);
    }
}

asio::awaitable<void> Soak::playAndCount(Fault fault)
{
    ++this->playing;
    co_await this->play(fault);
    --this->playing;
}

asio::awaitable<void> Soak::awaitNone(const int &count, Duration limit)
{
    const Instant end = clockNow() + limit;
    while (count > 0 && clockNow() < end)
        co_await pauseFor(milliseconds(20));
}

asio::awaitable<void> Soak::play(Fault fault)
{
    this->note(fmt::format("{} gateway {} upstream {} engine {} for {} ms", enumName(fault.kind),
                           fault.gateway, this->upstreams[static_cast<size_t>(fault.upstream)].id,
                           this->engines[static_cast<size_t>(fault.engine)].server->id(),
                           toMs(fault.length)));
    switch (fault.kind) {
    case FaultKind::KillGateway:
        co_await this->playOnProcess(gatewayName(fault.gateway), SIGKILL, fault.length);
        break;
    case FaultKind::StopGateway:
        co_await this->playOnProcess(gatewayName(fault.gateway), SIGTERM, fault.length);
        break;
    case FaultKind::PauseGateway:
        co_await this->playOnProcess(gatewayName(fault.gateway), SIGSTOP, fault.length);
        break;
    case FaultKind::KillSteward:
        co_await this->playOnProcess(stewardName(fault.engine), SIGKILL, fault.length);
        break;
    case FaultKind::StopSteward:
        co_await this->playOnProcess(stewardName(fault.engine), SIGTERM, fault.length);
        break;
    case FaultKind::PauseSteward:
        co_await this->playOnProcess(stewardName(fault.engine), SIGSTOP, fault.length);
        break;
    case FaultKind::CrashEngine:
    case FaultKind::CutEngine:
    case FaultKind::SilenceEngine:
    case FaultKind::DelayEngine:
        co_await this->playOnEngine(fault);
        break;
    case FaultKind::CutUpstream:
    case FaultKind::SilenceUpstream:
    case FaultKind::DelayUpstream:
    case FaultKind::RemoveUpstream:
        co_await this->playOnUpstream(fault);
        break;
    case FaultKind::CutStore:
    case FaultKind::SilenceStore:
    case FaultKind::RefuseAtStore:
    case FaultKind::ForgetHistory:
        co_await this->playOnStore(fault);
        break;
    case FaultKind::ChangeConfig:
        this->writeConfig();
        this->rig.signal(gatewayName(fault.gateway), SIGHUP);
        break;
    }
}

asio::awaitable<void> Soak::playOnProcess(std::string name, int signal, Duration length)
{
    if (!this->rig.isRunning(name))
        co_return;
    if (signal == SIGTERM) {
        co_await this->stopAndStart(name);
    } else if (signal == SIGSTOP) {
        this->rig.signal(name, SIGSTOP);
        co_await pauseFor(length);
        this->rig.signal(name, SIGCONT);
    } else {
        this->rig.signal(name, SIGKILL);
        co_await pauseFor(milliseconds(300));
        // A stop that was under way may have started it again.
        if (!this->rig.isRunning(name))
            this->rig.restart(name);
    }
}

asio::awaitable<void> Soak::playOnUpstream(Fault fault)
{
    auto &upstream = this->upstreams[static_cast<size_t>(fault.upstream)];
    if (fault.kind == FaultKind::CutUpstream) {
        (void)upstream.relay->applyFault(R"({"cut":true})");
        co_await pauseFor(fault.length);
        (void)upstream.relay->applyFault(R"({"cut":false})");
    } else if (fault.kind == FaultKind::SilenceUpstream) {
        (void)upstream.relay->applyFault(R"({"silence":true})");
    } else if (fault.kind == FaultKind::DelayUpstream) {
        (void)upstream.relay->applyFault(R"({"latency_ms":80})");
        co_await pauseFor(fault.length);
        (void)upstream.relay->applyFault(R"({"latency_ms":0})");
    } else if (upstream.listed) {
        upstream.listed = false;
        this->store.remove("servers", upstream.id);
        upstream.forbiddenSince = clockNow();
        co_await pauseFor(fault.length + LeaveBound);
        this->startUpstream(fault.upstream);
    }
}

asio::awaitable<void> Soak::playOnStore(Fault fault)
{
    // Calls that a fault has caught end with their timeouts.
    const Duration caught = std::chrono::seconds(4);
    if (fault.kind != FaultKind::ForgetHistory)
        this->storeDisturbedUntil =
            std::max(this->storeDisturbedUntil, clockNow() + fault.length + caught);
    if (fault.kind == FaultKind::ForgetHistory) {
        this->store.compactHistory();
    } else if (fault.kind == FaultKind::CutStore) {
        (void)this->storeRelay->applyFault(R"({"cut":true})");
        co_await pauseFor(fault.length);
        (void)this->storeRelay->applyFault(R"({"cut":false})");
    } else if (fault.kind == FaultKind::SilenceStore) {
        (void)this->storeRelay->applyFault(R"({"silence":true})");
    } else {
        this->store.respond503 = true;
        co_await pauseFor(fault.length);
        this->store.respond503 = false;
    }
}

asio::awaitable<void> Soak::stopAndStart(std::string name)
{
    // A second signal would end it at once.
    if (!this->rig.isRunning(name) || !this->stopping.insert(name).second)
        co_return;
    this->rig.signal(name, SIGTERM);
    // Nothing but the stop delays a planned one; the platform kills it when the time is over.
    const Instant limit =
        clockNow() + (this->plan == SoakPlan::PlannedStops ? this->stopGrace() + milliseconds(300)
                                                           : StopBound + std::chrono::seconds(4));
    while (this->rig.isRunning(name) && clockNow() < limit)
        co_await pauseFor(milliseconds(20));
    // It may have been paused meanwhile for as long as the longest fault; the limit allows for it.
    if (this->rig.isRunning(name))
        this->violate(name + " did not end after SIGTERM");
    else
        this->rig.restart(name);
    this->stopping.erase(name);
}

asio::awaitable<void> Soak::awaitReady(int gateway, std::string when)
{
    const Address address{this->rig.at(10 + gateway, 1).host, 8081};
    HttpClient client(this->context);
    const Instant limit = clockNow() + ReadyBound;
    while (clockNow() < limit) {
        HttpRequest question;
        question.target = "/readiness";
        const auto answer = co_await client.request(address, question, std::chrono::seconds(1));
        if (isOk(answer) && value(answer).status == 200)
            co_return;
        co_await pauseFor(milliseconds(50));
    }
    this->violate(fmt::format("{} is not ready {}", gatewayName(gateway), when));
}

asio::awaitable<void> Soak::recover()
{
    this->note("all faults have ended");
    co_await pauseFor(RecoveryTime);
    for (int gateway = 0; gateway < Gateways; ++gateway) {
        co_await this->awaitReady(gateway, "after all faults");
        HttpClient client(this->context);
        const int before = this->served;
        for (int i = 0; i < 20; ++i) {
            const auto kind = static_cast<Kind>(i % 4);
            co_await this->callOnce(client, gateway, kind);
        }
        // Upstreams go on to fail a part.
        if (this->served < before + 10)
            this->violate(fmt::format("{} serves {} of 20 after all faults", gatewayName(gateway),
                                      this->served - before));
        co_await this->checkModels(gateway);
    }
}

void Soak::run()
{
    this->began = clockNow();
    asio::co_spawn(
        this->context,
        [this]() -> asio::awaitable<void> {
            for (int gateway = 0; gateway < Gateways; ++gateway)
                co_await this->awaitReady(gateway, "after its start");
            for (int gateway = 0; gateway < Gateways; ++gateway) {
                const int modelCallers = this->plan == SoakPlan::PlannedStops
                                             ? WaitingCallersPerGateway
                                             : ModelCallersPerGateway;
                for (int caller = 0; caller < CallersPerGateway + modelCallers; ++caller)
                    asio::co_spawn(this->context,
                                   this->callLoop(gateway, caller >= CallersPerGateway),
                                   asio::detached);
            }
            co_await this->faultLoop();
            co_await awaitNone(this->playing, StopBound + std::chrono::seconds(4));
            this->calling = false;
            co_await awaitNone(this->waiting, LongPatience + CallerSlack);
            if (this->plan == SoakPlan::AllFaults)
                co_await this->recover();
            this->context.stop();
        },
        asio::detached);
    this->context.run_for(std::chrono::seconds(80));
    this->judgeAtEnd();
}

void Soak::judgeAtEnd()
{
    for (const auto &[id, executed] : this->executions) {
        const bool runsOnce = executed.kind == Kind::Take || executed.kind == Kind::Tell ||
                              executed.kind == Kind::Ask;
        if (executed.count > 1 && runsOnce)
            this->violate(
                fmt::format("{} {} ran {} times", nameOf(executed.kind), id, executed.count));
        if (executed.count > 2)
            this->violate(
                fmt::format("{} {} ran {} times", nameOf(executed.kind), id, executed.count));
        if (this->refused.contains(id))
            this->violate(
                fmt::format("{} {} ran and was refused as not run", nameOf(executed.kind), id));
    }
    if (this->servedByModels < 50)
        this->violate(fmt::format("only {} requests for models were served", this->servedByModels));
    if (this->served < 200)
        this->violate(fmt::format("only {} requests were served", this->served));
}

std::string Soak::history() const
{
    std::string text =
        fmt::format("seed {}, {} served ({} by models), {} refused, orders", this->seed,
                    this->served, this->servedByModels, this->refused.size());
    for (const auto &engine : this->engines)
        text += fmt::format(" {}", engine.server->orders());
    text += "\n";
    for (const auto &line : this->past)
        text += line + "\n";
    return text;
}

void Soak::note(const std::string &text)
{
    this->past.push_back(fmt::format("{:6} ms  {}", toMs(clockNow() - this->began), text));
}

void Soak::violate(const std::string &text)
{
    this->note("BROKEN: " + text);
    this->broken.push_back(text);
}

int Soak::pick(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(this->random);
}

} // namespace tray::test
