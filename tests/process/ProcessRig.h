// Runs the real programs as child processes for tests and ends them all, whatever happens.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpMessage.h"

#include "load_report.pb.h"

#include <future>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tray::test {

/// Size of a system under test.
struct RigLayout
{
    int engines = 2;
    int services = 1;
    int entries = 2;
    int models = 2;
    int minReplicas = 2;
    /// Entries and agents reach upstream agents through a relay that tests can silence.
    bool relayed = false;
    /// Lines for the section [engine] of each engine.
    std::string engineSettings;
    /// Lines for the section [upstream] of each engine's agent.
    std::string agentSettings;
    /// Lines for the section [service] of each service.
    std::string serviceSettings;
};

/// One system on loopback addresses of its own. Programs are found beside the test binary. A rig
/// whose test hangs is ended, with its processes, after a fixed time.
class ProcessRig
{
public:
    ProcessRig();
    ~ProcessRig();
    ProcessRig(const ProcessRig &) = delete;
    ProcessRig &operator=(const ProcessRig &) = delete;

    /// Starts all processes, submits the ticket with models m1, m2, ... and service "desk", and
    /// waits until each model and the service answer. False if that takes too long.
    bool startSystem(const RigLayout &layout);

    /// Starts a program with settings in INI form, under a name that is unique in the rig.
    pid_t start(const std::string &name, const std::string &program, const std::string &settings);
    /// Runs a program to its end; its exit status, or -1 after the timeout.
    int run(const std::string &program, const std::vector<std::string> &arguments,
            Duration timeout);
    /// Sends a signal to a process of the rig.
    void signal(const std::string &name, int number);
    /// Waits for the end of a process; its exit status, or -1 after the timeout or on a signal.
    int awaitExit(const std::string &name, Duration timeout);
    bool isRunning(const std::string &name);
    /// Starts a process again with its first settings.
    void restart(const std::string &name);
    /// Last lines of a process's log.
    std::string logTail(const std::string &name) const;

    /// Address of a part on host number of the rig; hosts are numbered by the functions below.
    Address at(int host, uint16_t port) const;
    Address entry(int number) const { return this->at(10 + number, 8080); }
    Address entryAdmin(int number) const { return this->at(10 + number, 9000); }
    Address engineAdmin(int number) const { return this->at(50 + number, 9001); }
    Address serviceAdmin(int number) const { return this->at(100 + number, 9001); }
    Address agentAdmin(int number) const { return this->at(50 + number, 9000); }
    Address platformAdmin() const { return this->at(1, 9000); }
    Address relayAdmin() const { return this->at(3, 9000); }

    /// One HTTP call; status 0 if there was no answer.
    HttpResponse call(const Address &address, const std::string &method, const std::string &target,
                      const std::string &body = "", HttpHeaders headers = {},
                      Duration timeout = std::chrono::seconds(10));
    /// POST /fault at a stand-in's admin address.
    bool fault(const Address &admin, const std::string &body);
    /// A completion of a model by the rig's client account.
    HttpResponse complete(int entryNumber, const std::string &model, const std::string &prompt,
                          bool stream = false, HttpHeaders headers = {});
    /// Calls until the condition holds; false after the timeout.
    static bool eventually(Duration timeout, const std::function<bool()> &condition);

    /// Scenario text with the entries and the client account of the rig, to which flows are added.
    std::string scenarioHead(double durationSeconds) const;
    /// Runs a load in this process, on a thread of its own.
    std::future<proto::LoadReport> startLoad(const std::string &scenario);

private:
    struct Child
    {
        pid_t pid = 0;
        std::string program;
        std::string settingsFile;
        std::string logFile;
    };

    pid_t spawn(const std::string &program, const std::vector<std::string> &arguments,
                const std::string &logFile);
    void startPlatform();
    void startUpstream(const RigLayout &layout, bool engine, int number);
    void startEntry(int number);
    void startRelay(const RigLayout &layout);
    bool awaitReady(const Address &admin, const std::string &name);
    bool submitTicket();
    bool servesAll();
    std::string commonSettings(const std::string &id, int host) const;
    std::string ticketText() const;

    RigLayout layout;
    // Two bytes that make the rig's loopback addresses its own.
    int network = 0;
    std::string directory;
    std::map<std::string, Child> children;
};

} // namespace tray::test
