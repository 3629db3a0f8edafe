// Stand-in for the platform: object API with versions, conditional updates and watches, and the
// lagging instance list.
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

    /// Adds a listener; each can be cut on its own with setCut().
    Result<Address> listen(const Address &address);
    /// Answers all calls to a listener with 503 while cut.
    void setCut(const Address &listener, bool cut);

    /// Sets faults from a JSON object; fields that are absent stay as they are:
    /// outage (bool), outage_ms, silent (bool: calls get no answer), latency_ms, list_lag_ms,
    /// lost_answers (number of next writes whose answer is lost after the effect),
    /// lost_answer_percent, reads_per_second, writes_per_second, compact (true: watches after an
    /// older revision get 410).
    Result<Unit> setFault(const boost::json::object &fault);
    /// Calls counted by kind, and writes by first part of the key.
    boost::json::object stats() const;
    /// Handler of POST /fault and GET /stats for the admin server.
    HttpHandler adminRoute();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace tray
