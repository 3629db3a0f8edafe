// Stand-in for the weight store, which limits the rate of model loads and slows down when many
// transfers run concurrently.
#pragma once

#include "base/Result.h"
#include "net/HttpServer.h"
#include "settings_fake_engine.pb.h"

#include <boost/json.hpp>
#include <memory>

namespace tray::fakes {

/// Serves transfers. All calls and the context's run() are made from one thread.
class FakeStore
{
public:
    FakeStore(boost::asio::io_context &context, const proto::FakeStoreSection &settings);
    ~FakeStore();

    Result<Address> listen(const Address &address);
    void stop();
    /// Pages for the admin server: /fault and /executions.
    boost::asio::awaitable<void> serveAdmin(HttpRequest request, HttpResponder &responder);
    /// Sets faults as POST /fault does: {"outage":bool,"slowdown":factor}. Absent fields change
    /// nothing.
    void setFault(const boost::json::object &fault);
    /// Number of completed model transfers.
    uint64_t modelLoads() const;
    /// Number of completed adapter transfers.
    uint64_t adapterLoads() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray::fakes
