// HTTP client on Boost.Beast with a pool of keep-alive connections per address.
#pragma once

#include "base/Address.h"
#include "base/EnumNames.h"
#include "base/Time.h"
#include "net/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace tray {

/// Result of an attempt to open a connection.
enum class ProbeResult : uint8_t {
    Accepted,
    /// The host answered that nothing listens at the port.
    Refused,
    /// The connection was reset: the process is at its limit of connections, or is ending.
    Reset,
    /// The host did not answer in time, or is unreachable.
    Silent
};

template <>
struct EnumNames<ProbeResult>
{
    static constexpr auto Table = std::to_array<EnumName<ProbeResult>>({
        {ProbeResult::Accepted, "accepted"},
        {ProbeResult::Refused, "refused"},
        {ProbeResult::Reset, "reset"},
        {ProbeResult::Silent, "silent"},
    });
};

/// The connection of a call, and what it had carried before.
struct ConnectionUse
{
    /// Number of the connection among those of its client, from 1.
    uint64_t connection = 0;
    /// Calls that the connection had carried before.
    uint64_t earlierCalls = 0;
    /// Whether one of them had the id of this call, so that a late copy of its answer cannot be
    /// told from the answer to this call.
    bool hasCarriedId = false;
    /// Whether the peer had been sent the id of this call before, on any connection.
    bool wasIdSentBefore = false;

    bool isReused() const { return this->earlierCalls > 0; }
};

/// Returns the use as "new", "reused", "sent_before" or "same_id", with the numbers of the
/// connection and of the call on it, for the log.
std::string describe(const ConnectionUse &use);

/// Response whose body is read in parts. Destroying it before the end closes the connection, which
/// tells the peer to cancel the request.
class HttpStream
{
public:
    virtual ~HttpStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Returns whether the body has neither a length nor chunks and ends with the connection.
    virtual bool endsWithConnection() const = 0;
    virtual const ConnectionUse &connectionUse() const = 0;
    /// Returns the next part of the body, or an empty string once the body is complete. Fails with
    /// StreamBroken if the connection ends early or no byte arrives within the timeout, so that a
    /// truncated body is never treated as complete. A body without a length is complete when the
    /// peer closes the connection in order.
    virtual boost::asio::awaitable<Result<std::string>> read(Duration inactivityTimeout) = 0;
};

/// Cancels a call by closing its connection immediately, so that the peer notices the cancellation.
class HttpCancel
{
public:
    /// Closes the connection of the call. A call that begins later fails immediately.
    void cancel();
    bool isCancelled() const { return this->cancelled; }
    /// Set by the client once the call has a connection.
    std::function<void()> closeConnection;

private:
    bool cancelled = false;
};

/// Longest time for which an idle connection is kept in a pool.
constexpr Duration MaxPooledIdleTime = std::chrono::seconds(10);

/// Options of one call.
struct HttpCallOptions
{
    /// Uses a new connection that carries no other call. For peers whose responses name no call, so
    /// that a late copy of one could be taken for the response to another call.
    bool exclusive = false;
    /// Maximum idle time of a pooled connection that the call may use.
    Duration maxIdle = MaxPooledIdleTime;
    /// Timeout for establishing a connection.
    Duration connectTimeout = std::chrono::seconds(60);
    /// Cancels the call; may be null.
    std::shared_ptr<HttpCancel> cancel;
    /// Hash of the id that the peer repeats in its response; 0 if it repeats none. The call does
    /// not use a connection that has carried this id before: a late copy of the earlier answer
    /// would look like the answer to this call.
    uint64_t callDigest = 0;
    /// Returns whether a response belongs to this call. Other responses, which the peer sent late
    /// for earlier calls, are read and dropped. If empty, every response is accepted.
    std::function<bool(int status, const HttpHeaders &headers, const ConnectionUse &use)>
        matchesCall;
};

/// Sends requests. Safe to use from any thread; each call runs on the caller's executor.
/// Connections are closed by a reset, so that the unreceived rest of an abandoned request does not
/// reach the peer later.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();

    /// Maximum size of a response body that request() accepts, in bytes: several times the largest
    /// configuration.
    static constexpr size_t MaxBodyBytes = 16u << 20;
    /// Maximum size of a response head, chunk header or trailer section, in bytes.
    static constexpr size_t MaxHeadBytes = 64u << 10;

    /// Sends a request and waits for the complete response.
    /// Fails with UpstreamUnreachable if nothing was sent (the request did not run), with
    /// BadRequest if its head cannot be written (it did not run, and will not elsewhere), otherwise
    /// with Timeout or UpstreamFailed (it may have run). A request is never sent twice. The call
    /// also fails, and its connection is closed, if the response exceeds the size limits or the
    /// timeout.
    boost::asio::awaitable<Result<HttpResponse>>
    request(Address address, HttpRequest request, Duration timeout, HttpCallOptions options = {});

    /// Sends a request and returns once the response header has arrived. Errors as for request().
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>>
    open(Address address, HttpRequest request, Duration timeout, HttpCallOptions options = {});

    /// Opens a new connection to find out whether a process listens there, and keeps it for later
    /// calls.
    boost::asio::awaitable<ProbeResult> probe(Address address, Duration timeout);

    /// Closes the idle connections to an address.
    void forget(const Address &address);
    /// Number of connection attempts since the client was created.
    uint64_t dialled() const;
    /// Number of idle connections in the pool.
    size_t pooled() const;

private:
    struct Impl;

    std::shared_ptr<Impl> impl;
};

} // namespace tray
