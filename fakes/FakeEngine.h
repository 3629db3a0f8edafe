// Stand-in for an engine: serves completions, takes orders to load and unload models, reports its
// state and simulates faults, all over HTTP.
#pragma once

#include "EngineBatch.h"
#include "EngineMemory.h"
#include "base/Result.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace tray::fakes {

/// Serves one engine. All calls and the context's run() are made from one thread.
class FakeEngine
{
public:
    /// onCrash is called when a fault crashes the engine. Without it the engine aborts all requests
    /// until the fault "revive".
    FakeEngine(boost::asio::io_context &context, const proto::FakeEngineSection &settings,
               std::function<void()> onCrash = {});
    ~FakeEngine();

    Result<Address> listen(const Address &address);
    /// Stops the loops and cancels all requests, so that the context runs out of work.
    void stop();

    /// Pages for the admin server: /fault and /executions.
    boost::asio::awaitable<void> serveAdmin(HttpRequest request, HttpResponder &responder);
    /// Sets a fault as POST /fault does.
    void setFault(const boost::json::object &fault);
    /// Number of executions by request id.
    const std::map<std::string, int> &executions() const;
    const EngineMemory &memory() const;
    /// Adds an item in state ready without a load, and reports it immediately, without the report
    /// lag.
    void preload(const std::string &kind, const std::string &name, const std::string &version,
                 uint64_t bytes);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray::fakes
