// Accept loop of a TCP listener.
#include "net/Listener.h"

#include "base/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace tray {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
// Maximum number of connections that wait to be accepted, high enough that the kernel does not
// refuse a burst of callers.
constexpr int Backlog = 4096;

} // namespace

struct Listener::Impl
{
    Impl(asio::io_context &context, Handler handler)
        : context(context), handler(std::move(handler)), acceptor(asio::make_strand(context))
    {}

    static asio::awaitable<void> accept(std::shared_ptr<Impl> self)
    {
        while (self->acceptor.is_open()) {
            auto strand = asio::make_strand(self->context);
            auto [code, socket] = co_await self->acceptor.async_accept(strand, Await);
            if (code == asio::error::operation_aborted)
                co_return;
            if (code) {
                // Most likely out of file descriptors. The delay avoids a busy loop.
                asio::steady_timer timer(self->acceptor.get_executor(), milliseconds(50));
                co_await timer.async_wait(Await);
                continue;
            }
            self->handOver(std::move(socket));
        }
    }

    /// Passes a connection to the handler. If the handler throws, most likely for lack of memory,
    /// the accept loop or the close continues.
    void handOver(tcp::socket socket)
    {
        try {
            this->handler(std::move(socket));
        } catch (const std::exception &failure) {
            spdlog::error("event=connection_not_taken error={:?}", failure.what());
        }
    }

    /// Hands over the connections that the kernel has already accepted.
    void acceptPending()
    {
        boost::system::error_code code;
        if (!this->acceptor.is_open())
            return;
        this->acceptor.non_blocking(true, code);
        while (!code) {
            tcp::socket socket(asio::make_strand(this->context));
            this->acceptor.accept(socket, code);
            if (!code)
                this->handOver(std::move(socket));
        }
    }

    asio::io_context &context;
    const Handler handler;
    tcp::acceptor acceptor;
};

Listener::Listener(asio::io_context &context, Handler handler)
    : impl(std::make_shared<Impl>(context, std::move(handler)))
{}

Listener::~Listener()
{
    this->close();
}

Result<Address> Listener::listen(const Address &address)
{
    boost::system::error_code code;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, code), address.port);
    auto &acceptor = this->impl->acceptor;
    if (!code)
        acceptor.open(endpoint.protocol(), code);
    if (!code)
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        acceptor.bind(endpoint, code);
    if (!code)
        acceptor.listen(Backlog, code);
    if (code)
        return Error{ErrorKind::InvalidSettings,
                     "cannot listen on " + toString(address) + ": " + code.message()};
    const auto port = acceptor.local_endpoint().port();
    asio::co_spawn(acceptor.get_executor(), Impl::accept(this->impl), asio::detached);
    return Address{address.host, port};
}

void Listener::close(std::function<void()> closed)
{
    asio::post(this->impl->acceptor.get_executor(),
               [impl = this->impl, closed = std::move(closed)] {
                   impl->acceptPending();
                   boost::system::error_code ignored;
                   impl->acceptor.close(ignored);
                   if (closed)
                       closed();
               });
}

} // namespace tray
