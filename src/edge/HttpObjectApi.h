// Implements ObjectApi by HTTP requests with JSON bodies.
#pragma once

#include "base/Address.h"
#include "edge/ObjectApi.h"
#include "net/HttpClient.h"
#include "observe/Metrics.h"

namespace tray {

/// Calls the platform's object API. Safe to use from any thread.
class HttpObjectApi : public ObjectApi
{
public:
    /// The timeout limits each call; that of a watch is added to the watch's own timeout. Calls are
    /// counted as tray_platform_calls.
    HttpObjectApi(HttpClient &client, Address address, Duration timeout, Metrics &metrics);

    boost::asio::awaitable<Result<ObjectValue>> read(std::string key) override;
    boost::asio::awaitable<Result<uint64_t>> write(std::string key, std::string value,
                                                   uint64_t expectedVersion) override;
    boost::asio::awaitable<Result<Unit>> remove(std::string key, uint64_t expectedVersion) override;
    boost::asio::awaitable<Result<ObjectChanges>> list(std::string prefix) override;
    boost::asio::awaitable<Result<ObjectChanges>> watch(std::string prefix, uint64_t after,
                                                        Duration timeout) override;

private:
    HttpClient &client;
    const Address address;
    const Duration timeout;
    Counter &reads;
    Counter &writes;
    Counter &watches;
    Counter &failures;
};

} // namespace tray
