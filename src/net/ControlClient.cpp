// Control requests over nng: one request socket per peer and one context per request.
#include "net/ControlClient.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/async_result.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>
#include <thread>
#include <vector>

namespace tray {

namespace {

constexpr size_t MaxMessageBytes = 16u << 20;

/// Request socket to one peer. Closed once no request uses it any more.
struct PeerSocket
{
    nng_socket socket{};
    bool open = false;

    ~PeerSocket() { this->close(); }

    /// Fails all pending requests on the socket. Must not be called on an nng thread.
    void close()
    {
        if (std::exchange(this->open, false))
            nng_close(this->socket);
    }
};

/// Opens a socket without waiting for the connection. nng reconnects to an unreachable peer in the
/// background. Returns null on failure.
std::shared_ptr<PeerSocket> openSocket(const Address &peer)
{
    auto peerSocket = std::make_shared<PeerSocket>();
    if (nng_req0_open(&peerSocket->socket) != 0)
        return nullptr;
    peerSocket->open = true;
    // Only the caller may repeat a lost request: the resend of the nng protocol would run it twice.
    nng_socket_set_ms(peerSocket->socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_ms(peerSocket->socket, NNG_OPT_RECONNMINT, 50);
    nng_socket_set_ms(peerSocket->socket, NNG_OPT_RECONNMAXT, 500);
    nng_socket_set_size(peerSocket->socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
    const std::string url = "tcp://" + toString(peer);
    if (nng_dial(peerSocket->socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
        return nullptr;
    return peerSocket;
}

struct ClientState
{
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<PeerSocket>> sockets;
    // Sockets that are no longer used for new requests. They are closed on a caller's thread,
    // because a close on an nng thread can block that thread.
    std::vector<std::shared_ptr<PeerSocket>> retired;
    std::atomic<uint64_t> sent{0};
    std::atomic<uint64_t> received{0};
    std::atomic<size_t> pending{0};
};

/// One pending request. Deletes itself when it has completed.
struct Call
{
    std::shared_ptr<ClientState> shared;
    std::string peer;
    std::shared_ptr<PeerSocket> socket;
    nng_ctx context{};
    nng_aio *aio = nullptr;
    bool sending = true;
    Instant deadline;
    ControlClient::Done callback;

    void onDone()
    {
        const int status = nng_aio_result(this->aio);
        if (status != 0) {
            if (this->sending)
                nng_msg_free(nng_aio_get_msg(this->aio));
            this->fail(status);
            return;
        }
        if (this->sending) {
            this->sending = false;
            const auto remainingMs = toMs(this->deadline - std::chrono::steady_clock::now());
            nng_aio_set_timeout(this->aio,
                                static_cast<nng_duration>(std::max<int64_t>(remainingMs, 1)));
            nng_ctx_recv(this->context, this->aio);
            return;
        }
        nng_msg *message = nng_aio_get_msg(this->aio);
        std::string reply(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        this->shared->received += reply.size();
        this->finish(std::move(reply));
    }

    void fail(int status)
    {
        {
            // The connection may be unresponsive, so the next request opens a new one.
            const std::lock_guard lock(this->shared->mutex);
            const auto found = this->shared->sockets.find(this->peer);
            if (found != this->shared->sockets.end() && found->second == this->socket) {
                this->shared->retired.push_back(this->socket);
                this->shared->sockets.erase(found);
            }
        }
        const auto kind =
            status == NNG_ETIMEDOUT ? ErrorKind::Timeout : ErrorKind::UpstreamUnreachable;
        this->finish(Error{kind, this->peer + ": " + nng_strerror(status)});
    }

    void finish(Result<std::string> result)
    {
        nng_ctx_close(this->context);
        this->callback(std::move(result));
        // An aio cannot be freed in its own callback. The reaper of nng frees it.
        nng_aio_reap(this->aio);
        this->socket.reset();
        const auto state = this->shared;
        delete this;
        --state->pending;
    }
};

} // namespace

struct ControlClient::Impl : ClientState
{};

ControlClient::ControlClient() : impl(std::make_shared<Impl>()) {}

ControlClient::~ControlClient()
{
    std::vector<std::shared_ptr<PeerSocket>> closing;
    {
        const std::lock_guard lock(this->impl->mutex);
        closing = std::move(this->impl->retired);
        for (auto &[key, socket] : this->impl->sockets)
            closing.push_back(std::move(socket));
        this->impl->sockets.clear();
    }
    for (auto &socket : closing)
        socket->close();
    while (this->impl->pending > 0)
        std::this_thread::sleep_for(milliseconds(1));
}

void ControlClient::request(const Address &peer, std::string message, Duration timeout,
                            Done callback)
{
    const std::string key = toString(peer);
    std::shared_ptr<PeerSocket> socket;
    std::vector<std::shared_ptr<PeerSocket>> closing;
    {
        const std::lock_guard lock(this->impl->mutex);
        auto &retired = this->impl->retired;
        const auto unused = std::partition(retired.begin(), retired.end(),
                                           [](const auto &state) { return state.use_count() > 1; });
        closing.assign(std::make_move_iterator(unused), std::make_move_iterator(retired.end()));
        retired.erase(unused, retired.end());
        auto &slot = this->impl->sockets[key];
        if (!slot)
            slot = openSocket(peer);
        socket = slot;
        if (!slot)
            this->impl->sockets.erase(key);
    }
    auto call = std::make_unique<Call>();
    nng_msg *body = nullptr;
    if (!socket || nng_ctx_open(&call->context, socket->socket) != 0) {
        callback(Error{ErrorKind::UpstreamUnreachable, key + ": no connection can be opened"});
        return;
    }
    const int allocated = nng_aio_alloc(
        &call->aio, [](void *self) { static_cast<Call *>(self)->onDone(); }, call.get());
    if (allocated != 0 || nng_msg_alloc(&body, 0) != 0 ||
        nng_msg_append(body, message.data(), message.size()) != 0) {
        nng_ctx_close(call->context);
        nng_msg_free(body);
        nng_aio_free(call->aio);
        callback(Error{ErrorKind::Internal, "out of memory"});
        return;
    }
    call->shared = this->impl;
    call->peer = key;
    call->socket = std::move(socket);
    call->deadline = std::chrono::steady_clock::now() + timeout;
    call->callback = std::move(callback);
    this->impl->sent += message.size();
    ++this->impl->pending;
    nng_aio_set_timeout(call->aio, static_cast<nng_duration>(std::max<int64_t>(toMs(timeout), 1)));
    nng_aio_set_msg(call->aio, body);
    auto *started = call.release();
    nng_ctx_send(started->context, started->aio);
}

boost::asio::awaitable<Result<std::string>>
ControlClient::request(Address peer, std::string message, Duration timeout)
{
    using Signature = void(Result<std::string>);
    auto initiate = [this](auto handler, Address address, std::string text, Duration limit) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto executor = boost::asio::get_associated_executor(*shared);
        // Keeps the execution context from running out of work while the request is pending.
        auto work = boost::asio::prefer(executor, boost::asio::execution::outstanding_work.tracked);
        this->request(address, std::move(text), limit,
                      [shared, work](Result<std::string> result) mutable {
                          boost::asio::post(work, [shared, result = std::move(result)]() mutable {
                              (*shared)(std::move(result));
                          });
                      });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, Signature>(
        std::move(initiate), boost::asio::use_awaitable, std::move(peer), std::move(message),
        timeout);
}

uint64_t ControlClient::bytesSent() const
{
    return this->impl->sent;
}

uint64_t ControlClient::bytesReceived() const
{
    return this->impl->received;
}

} // namespace tray
