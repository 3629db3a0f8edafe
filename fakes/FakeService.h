// Stand-in for a plain service: executes any request for a configured time and echoes it in the
// response.
#pragma once

#include "base/Result.h"
#include "net/HttpServer.h"
#include "settings_fake_engine.pb.h"

#include <boost/json.hpp>
#include <map>
#include <memory>

namespace tray::fakes {

/// Serves one plain service. All calls and the context's run() are made from one thread.
class FakeService
{
public:
    /// onCrash is called when a fault crashes the service. Without it the service aborts all
    /// requests until the fault "revive".
    FakeService(boost::asio::io_context &context, const proto::FakeServiceSection &settings,
                std::function<void()> onCrash = {});
    ~FakeService();

    Result<Address> listen(const Address &address);
    void stop();
    /// Pages for the admin server: /fault and /executions.
    boost::asio::awaitable<void> serveAdmin(HttpRequest request, HttpResponder &responder);
    /// Sets faults as POST /fault does: {"silent":bool,"die":true,"revive":true,
    /// "crash_text":text,"execute_ms":n,"lose_answers":n}. Absent fields change nothing.
    void setFault(const boost::json::object &fault);
    /// Number of executions by request id.
    const std::map<std::string, int> &executions() const;
    /// Number of executions by idempotency key.
    const std::map<std::string, int> &executionsByKey() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray::fakes
