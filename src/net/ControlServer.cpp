// nng reply socket with one context per request that may be in progress.
#include "net/ControlServer.h"

#include <cassert>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <spdlog/spdlog.h>
#include <utility>
#include <vector>

namespace tray {

namespace {

/// Handles one request at a time: receives it, calls the handler, sends the reply and receives the
/// next request.
struct Worker
{
    enum class State { Idle, Receiving, Handling, Sending };

    ControlServer::Handler *handler = nullptr;
    nng_ctx context{};
    nng_aio *aio = nullptr;
    State state = State::Idle;
    std::shared_ptr<std::mutex> mutex = std::make_shared<std::mutex>();
    // Set to false under the mutex when the server is destroyed, so that later replies are dropped.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void receive()
    {
        this->state = State::Receiving;
        nng_ctx_recv(this->context, this->aio);
    }

    void send(std::string reply)
    {
        nng_msg *message = nullptr;
        if (nng_msg_alloc(&message, 0) != 0 ||
            nng_msg_append(message, reply.data(), reply.size()) != 0) {
            nng_msg_free(message);
            this->receive();
            return;
        }
        this->state = State::Sending;
        nng_aio_set_msg(this->aio, message);
        nng_ctx_send(this->context, this->aio);
    }

    void onDone()
    {
        const int status = nng_aio_result(this->aio);
        if (status == NNG_ECLOSED || status == NNG_ECANCELED)
            return;
        if (this->state == State::Sending) {
            if (status != 0)
                nng_msg_free(nng_aio_get_msg(this->aio));
            this->receive();
            return;
        }
        if (status != 0) {
            this->receive();
            return;
        }
        nng_msg *message = nng_aio_get_msg(this->aio);
        std::string request(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        this->handle(std::move(request));
    }

    /// Calls the handler. Its exceptions must not reach nng, which is written in C.
    void handle(std::string request)
    {
        this->state = State::Handling;
        const auto replied = std::make_shared<bool>(false);
        try {
            (*this->handler)(std::move(request), [this, mutex = this->mutex, alive = this->alive,
                                                  replied](std::string reply) {
                const std::lock_guard lock(*mutex);
                if (*alive && !std::exchange(*replied, true))
                    this->send(std::move(reply));
            });
        } catch (const std::exception &failure) {
            spdlog::error("event=control_request_failed error={:?}", failure.what());
            // The caller gets no reply and times out. This worker receives the next request.
            const std::lock_guard lock(*this->mutex);
            if (*this->alive && !std::exchange(*replied, true))
                this->receive();
        }
    }
};

} // namespace

struct ControlServer::Impl
{
    Handler handler;
    nng_socket socket{};
    bool open = false;
    std::vector<std::unique_ptr<Worker>> workers;
};

ControlServer::ControlServer(Handler handler) : impl(std::make_unique<Impl>())
{
    this->impl->handler = std::move(handler);
}

ControlServer::~ControlServer()
{
    for (auto &worker : this->impl->workers) {
        const std::lock_guard lock(*worker->mutex);
        *worker->alive = false;
    }
    if (this->impl->open)
        nng_close(this->impl->socket);
    for (auto &worker : this->impl->workers) {
        nng_aio_stop(worker->aio);
        nng_aio_free(worker->aio);
    }
}

Result<Address> ControlServer::listen(const Address &address)
{
    const auto refuse = [&](int status) {
        return Error{ErrorKind::InvalidSettings,
                     "cannot listen on " + toString(address) + ": " + nng_strerror(status)};
    };
    auto &state = *this->impl;
    if (const int status = nng_rep0_open(&state.socket); status != 0)
        return refuse(status);
    state.open = true;
    nng_socket_set_size(state.socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
    nng_listener listener;
    const std::string url = "tcp://" + toString(address);
    if (const int status = nng_listener_create(&listener, state.socket, url.c_str()); status != 0)
        return refuse(status);
    nng_listener_set_bool(listener, NNG_OPT_TCP_NODELAY, true);
    if (const int status = nng_listener_start(listener, 0); status != 0)
        return refuse(status);
    int port = address.port;
    if (port == 0) {
        if (const int status = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
            status != 0)
            return refuse(status);
    }
    for (int i = 0; i < MaxConcurrentRequests; ++i) {
        auto worker = std::make_unique<Worker>();
        worker->handler = &state.handler;
        if (const int status = nng_ctx_open(&worker->context, state.socket); status != 0)
            return refuse(status);
        if (const int status = nng_aio_alloc(
                &worker->aio, [](void *self) { static_cast<Worker *>(self)->onDone(); },
                worker.get());
            status != 0)
            return refuse(status);
        worker->receive();
        state.workers.push_back(std::move(worker));
    }
    return Address{address.host, static_cast<uint16_t>(port)};
}

} // namespace tray
