// Starts the processes of a rig's system: settings, submission of the ticket, and the wait until
// all models and services answer.
#include "process/ProcessRig.h"

#include "base/Hash.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace tray::test {

using std::chrono::seconds;

namespace {

constexpr auto StartTimeout = seconds(20);

} // namespace

std::string ProcessRig::commonSettings(const std::string &id, int host) const
{
    std::string peers;
    for (int number = 0; number < this->layout.entries; ++number)
        peers += (number == 0 ? "" : ",") + toString(this->at(10 + number, 7000));
    return fmt::format("[instance]\nid = {}\ndata_centre = dc1\nregion = r1\n"
                       "[admin]\nlisten = {}\n[platform]\naddress = {}\n"
                       "[control]\nlisten = {}\npeers = {}\n",
                       id, toString(this->at(host, 9000)), toString(this->at(1, 6000)),
                       toString(this->at(host, 7000)), peers);
}

void ProcessRig::startPlatform()
{
    this->start("platform", "fake-platform",
                fmt::format("[admin]\nlisten = {}\n[fake_platform]\nlisten = {}\n",
                            toString(this->at(1, 9000)), toString(this->at(1, 6000))));
}

void ProcessRig::startUpstream(const RigLayout &layout, bool engine, int number)
{
    const int host = (engine ? 50 : 100) + number;
    const std::string kind = engine ? "engine" : "service";
    const std::string upstream = toString(this->at(host, 8000));
    this->start(fmt::format("{}{}", kind, number), "fake-" + kind,
                fmt::format("[admin]\nlisten = {}\n[{}]\nlisten = {}\n{}",
                            toString(this->at(host, 9001)), kind, upstream,
                            engine ? layout.engineSettings : layout.serviceSettings));
    this->start(fmt::format("{}-agent{}", kind, number), "tray-agent",
                this->commonSettings(fmt::format("agent-{}{}", kind, number), host) +
                    fmt::format("[agent]\nlisten = {}\nguard_listen = {}\n{}"
                                "[upstream]\nname = {}{}\npool = {}s\nkind = {}\naddress = {}\n",
                                toString(this->at(host, 7001)), toString(this->at(host, 7002)),
                                layout.relayed
                                    ? "advertise = " + toString(this->at(host, 7003)) + "\n"
                                    : "",
                                kind, number, kind, kind, upstream) +
                    (engine ? layout.agentSettings : ""));
}

void ProcessRig::startRelay(const RigLayout &layout)
{
    std::string settings = "[admin]\nlisten = " + toString(this->relayAdmin()) + "\n";
    const auto forward = [&](int host) {
        settings += fmt::format("[forward.host{}]\nlisten = {}\ntarget = {}\n", host,
                                toString(this->at(host, 7003)), toString(this->at(host, 7001)));
    };
    for (int number = 0; number < layout.engines; ++number)
        forward(50 + number);
    for (int number = 0; number < layout.services; ++number)
        forward(100 + number);
    this->start("relay", "fake-relay", settings);
}

void ProcessRig::startEntry(int number)
{
    this->start(fmt::format("entry{}", number), "tray-entry",
                this->commonSettings(fmt::format("entry-{}", number), 10 + number) +
                    fmt::format("[entry]\nlisten = {}\n", toString(this->entry(number))));
}

std::string ProcessRig::ticketText() const
{
    std::string text = fmt::format(
        R"({{"number":1,"author":"rig","objects":[{{"name":"engines","pool":{{"engines":true}}}},)"
        R"({{"name":"services","pool":{{}}}},)"
        R"({{"name":"gold","tier":{{"rank":0,"deadline_ms":5000,"first_token_ms":2000}}}},)"
        R"({{"name":"rig","client_account":{{"tier":"gold","credential_digests":["{}"]}}}},)"
        R"({{"name":"desk","service":{{"pool":"services","non_idempotent_methods":["POST"]}}}})",
        sha256Hex("rig-key"));
    for (int number = 1; number <= this->layout.models; ++number)
        text += fmt::format(R"(,{{"name":"m{}","model":{{"pool":"engines","version":"1",)"
                            R"("weight_bytes":1000000000,"kv_bytes_per_token":131072,)"
                            R"("max_context_tokens":4096,"min_replicas":{}}}}})",
                            number, this->layout.minReplicas);
    return text + "]}\n";
}

bool ProcessRig::awaitReady(const Address &admin, const std::string &name)
{
    if (eventually(StartTimeout, [&] { return this->call(admin, "GET", "/readyz").status == 200; }))
        return true;
    std::cerr << name << " is not ready: " << this->logTail(name) << '\n';
    return false;
}

bool ProcessRig::submitTicket()
{
    const std::string ticketFile = this->directory + "/ticket.json";
    std::ofstream(ticketFile) << this->ticketText();
    // The capacity check rejects the ticket until the entry knows all engines.
    return eventually(StartTimeout, [&] {
        return this->run("trayctl",
                         {"--entry", toString(this->at(10, 7000)), "--platform",
                          toString(this->at(1, 6000)), "ticket", "submit", ticketFile},
                         StartTimeout) == 0;
    });
}

bool ProcessRig::allTargetsServe()
{
    const HttpHeaders headers{{"Authorization", "Bearer rig-key"}};
    for (int entry = 0; entry < this->layout.entries; ++entry) {
        for (int number = 1; number <= this->layout.models; ++number) {
            if (this->complete(entry, fmt::format("m{}", number), "ready").status != 200)
                return false;
        }
        if (this->layout.services > 0 &&
            this->call(this->entry(entry), "GET", "/services/desk/ready", "", headers).status !=
                200)
            return false;
    }
    return true;
}

bool ProcessRig::startSystem(const RigLayout &layout)
{
    this->layout = layout;
    this->startPlatform();
    for (int number = 0; number < layout.engines; ++number)
        this->startUpstream(layout, true, number);
    for (int number = 0; number < layout.services; ++number)
        this->startUpstream(layout, false, number);
    if (layout.relayed)
        this->startRelay(layout);
    for (int number = 0; number < layout.entries; ++number)
        this->startEntry(number);
    for (int number = 0; number < layout.entries; ++number) {
        if (!this->awaitReady(this->entryAdmin(number), fmt::format("entry{}", number)))
            return false;
    }
    return this->submitTicket() &&
           eventually(StartTimeout, [&] { return this->allTargetsServe(); });
}

} // namespace tray::test
