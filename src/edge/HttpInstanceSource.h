// Implements InstanceSource by HTTP requests with JSON bodies.
#pragma once

#include "base/Address.h"
#include "base/Time.h"
#include "edge/InstanceSource.h"
#include "net/HttpClient.h"
#include "observe/Metrics.h"

namespace tray {

/// Calls the platform's API for the instance list. Safe to use from any thread.
class HttpInstanceSource : public InstanceSource
{
public:
    HttpInstanceSource(HttpClient &client, Address address, Duration timeout, Metrics &metrics);

    boost::asio::awaitable<Result<proto::InstanceList>> read() override;
    boost::asio::awaitable<Result<Unit>> add(proto::InstanceEntry entry) override;
    boost::asio::awaitable<Result<Unit>> remove(std::string id) override;

private:
    boost::asio::awaitable<Result<Unit>> sendChange(HttpRequest request);

    HttpClient &client;
    const Address address;
    const Duration timeout;
    Counter &calls;
};

} // namespace tray
