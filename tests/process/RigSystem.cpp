// The system that a rig starts: settings, ticket and the wait until it serves.
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
                    fmt::format("[agent]\nlisten = {}\nguard_listen = {}\n"
                                "[upstream]\nname = {}{}\npool = {}s\nkind = {}\naddress = {}\n",
                                toString(this->at(host, 7001)), toString(this->at(host, 7002)),
                                kind, number, kind, kind, upstream) +
                    (engine ? layout.agentSettings : ""));
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
        R"({{"name":"gold","tier":{{"rank":0,"deadline_ms":10000,"first_token_ms":5000}}}},)"
        R"({{"name":"rig","member":{{"tier":"gold","credential_digests":["{}"]}}}},)"
        R"({{"name":"desk","service":{{"pool":"services","non_idempotent_methods":["POST"]}}}})",
        sha256Hex("rig-key"));
    for (int number = 1; number <= this->layout.models; ++number)
        text += fmt::format(R"(,{{"name":"m{}","model":{{"pool":"engines","version":"1",)"
                            R"("weight_bytes":1000000000,"kv_bytes_per_token":131072,)"
                            R"("max_context_tokens":4096,"min_replicas":{}}}}})",
                            number, this->layout.minReplicas);
    return text + "]}\n";
}

bool ProcessRig::startSystem(const RigLayout &layout)
{
    this->layout = layout;
    this->startPlatform();
    for (int number = 0; number < layout.engines; ++number)
        this->startUpstream(layout, true, number);
    for (int number = 0; number < layout.services; ++number)
        this->startUpstream(layout, false, number);
    for (int number = 0; number < layout.entries; ++number)
        this->startEntry(number);
    for (int number = 0; number < layout.entries; ++number) {
        if (!eventually(StartTimeout, [&] {
                return this->call(this->entryAdmin(number), "GET", "/readyz").status == 200;
            })) {
            std::cerr << "entry" << number
                      << " is not ready: " << this->logTail(fmt::format("entry{}", number)) << '\n';
            return false;
        }
    }
    const std::string ticketFile = this->directory + "/ticket.json";
    std::ofstream(ticketFile) << this->ticketText();
    if (this->run("trayctl",
                  {"--entry", toString(this->at(10, 7000)), "--platform",
                   toString(this->at(1, 6000)), "ticket", "submit", ticketFile},
                  StartTimeout) != 0)
        return false;
    const HttpHeaders headers{{"Authorization", "Bearer rig-key"}};
    return eventually(StartTimeout, [&] {
        for (int entry = 0; entry < layout.entries; ++entry) {
            for (int number = 1; number <= layout.models; ++number) {
                if (this->complete(entry, fmt::format("m{}", number), "ready").status != 200)
                    return false;
            }
            if (layout.services > 0 &&
                this->call(this->entry(entry), "GET", "/services/desk/ready", "", headers).status !=
                    200)
                return false;
        }
        return true;
    });
}

} // namespace tray::test
