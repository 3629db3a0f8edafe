// Stand-in for the platform: the object API with versions, conditional writes and watches, and the
// instance list, which lags behind the actual state.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "net/HttpServer.h"

#include "settings_fake_platform.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

namespace tray {

/// Serves the protocols of the object API and the instance list, with faults on demand. Safe to use
/// from any thread.
class FakePlatform
{
public:
    FakePlatform(boost::asio::io_context &context, const proto::FakePlatformSection &settings);
    ~FakePlatform();

    /// Adds a listener. Each listener can be cut separately with setCut().
    Result<Address> listen(const Address &address);
    /// While a listener is cut, all calls to it fail with status 503.
    void setCut(const Address &listener, bool cut);

    /// Sets faults from a JSON object. Faults whose fields are absent stay as they are. Fields:
    /// outage (bool), outage_ms, silent (bool: calls get no response), latency_ms, list_lag_ms,
    /// lost_answers (number of next writes that take effect but get no response),
    /// lost_answer_percent, reads_per_second, writes_per_second, compact (true: watches after an
    /// older revision get 410).
    Result<Unit> setFault(const boost::json::object &fault);
    /// Number of calls by kind and of writes by the first part of the key.
    boost::json::object stats() const;
    /// Handler of POST /fault and GET /stats for the admin server.
    HttpHandler adminRoute();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
