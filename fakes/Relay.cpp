// Connections of the relay. Each direction of a connection has a bounded queue of chunks with the
// times at which they are passed on.
#include "Relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <google/protobuf/util/json_util.h>
#include <set>

namespace tray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr size_t ChunkBytes = 16384;
// Maximum of queued data in one direction of a connection; further data stays in the sender's
// socket.
constexpr size_t MaxQueuedBytes = 1u << 20;

struct Chunk
{
    Instant deliverAt;
    std::string data;
};

/// An accepted connection and the connection to its target.
struct Connection
{
    explicit Connection(tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor())
    {}

    /// Resets both connections, as a host does that loses its state.
    void reset()
    {
        boost::system::error_code ignored;
        this->client.set_option(asio::socket_base::linger(true, 0), ignored);
        this->server.set_option(asio::socket_base::linger(true, 0), ignored);
        this->close();
    }

    void close()
    {
        boost::system::error_code ignored;
        this->client.close(ignored);
        this->server.close(ignored);
        this->open = false;
    }

    tcp::socket client;
    tcp::socket server;
    bool open = true;
    // All data is discarded while the connection stays open.
    bool blackholed = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Queue between the reader and the writer of one direction.
struct DirectionQueue
{
    explicit DirectionQueue(const asio::any_io_executor &executor) : changed(executor)
    {
        this->changed.expires_at(Instant::max());
    }

    std::deque<Chunk> chunks;
    size_t bytes = 0;
    bool ended = false;
    // The sender has reset its connection, so that its data is incomplete.
    bool isReset = false;
    // Cancelled on each change, to wake the reader or the writer up.
    asio::steady_timer changed;
};

using DirectionQueuePtr = std::shared_ptr<DirectionQueue>;

} // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
    Impl(asio::io_context &context, const proto::RelaySection &section, Metrics &metrics)
        : context(context),
          outwardLink(toDelay(section.latency_ms()), toBitsPerSecond(section.bandwidth_kbit())),
          inwardLink(toDelay(section.latency_ms()), toBitsPerSecond(section.bandwidth_kbit())),
          outwardBytes(metrics.counter("relay_bytes_total", "direction=\"outward\"")),
          inwardBytes(metrics.counter("relay_bytes_total", "direction=\"inward\"")),
          acceptedConnections(metrics.counter("relay_connections_total"))
    {}

    static Duration toDelay(double ms)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }

    static uint64_t toBitsPerSecond(uint32_t kbit) { return uint64_t(kbit) * 1000; }

    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, tcp::endpoint target)
    {
        while (acceptor->is_open()) {
            auto [code, socket] = co_await acceptor->async_accept(Await);
            if (code)
                continue;
            if (this->isCut) {
                boost::system::error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                continue;
            }
            auto connection = std::make_shared<Connection>(std::move(socket));
            asio::co_spawn(this->context, this->serve(connection, target), asio::detached);
        }
    }

    asio::awaitable<void> serve(ConnectionPtr connection, tcp::endpoint target)
    {
        const auto self = this->shared_from_this();
        this->openConnections.insert(connection);
        this->acceptedConnections.add();
        const auto [code] = co_await connection->server.async_connect(target, Await);
        if (code) {
            connection->close();
            this->openConnections.erase(connection);
            co_return;
        }
        boost::system::error_code ignored;
        connection->client.set_option(tcp::no_delay(true), ignored);
        connection->server.set_option(tcp::no_delay(true), ignored);
        const auto executor = connection->client.get_executor();
        const auto forwardQueue = std::make_shared<DirectionQueue>(executor);
        const auto returnQueue = std::make_shared<DirectionQueue>(executor);
        asio::co_spawn(executor, this->read(connection, connection->client, forwardQueue, true),
                       asio::detached);
        asio::co_spawn(executor, this->write(connection, connection->server, forwardQueue),
                       asio::detached);
        asio::co_spawn(executor, this->read(connection, connection->server, returnQueue, false),
                       asio::detached);
        asio::co_spawn(executor, this->write(connection, connection->client, returnQueue),
                       asio::detached);
    }

    asio::awaitable<void> read(ConnectionPtr connection, tcp::socket &from, DirectionQueuePtr queue,
                               bool isOutward)
    {
        const auto self = this->shared_from_this();
        while (connection->open) {
            std::string data(ChunkBytes, '\0');
            const auto [code, size] = co_await from.async_read_some(asio::buffer(data), Await);
            if (code) {
                queue->isReset = code != asio::error::eof;
                break;
            }
            data.resize(size);
            if (connection->blackholed)
                continue;
            (isOutward ? this->outwardBytes : this->inwardBytes).add(size);
            Chunk chunk;
            chunk.deliverAt = (isOutward ? this->outwardLink : this->inwardLink)
                                  .transmit(size, std::chrono::steady_clock::now());
            chunk.data = std::move(data);
            queue->chunks.push_back(std::move(chunk));
            queue->bytes += size;
            queue->changed.cancel();
            while (connection->open && queue->bytes > MaxQueuedBytes)
                co_await queue->changed.async_wait(Await);
        }
        queue->ended = true;
        queue->changed.cancel();
    }

    asio::awaitable<void> write(ConnectionPtr connection, tcp::socket &to, DirectionQueuePtr queue)
    {
        const auto self = this->shared_from_this();
        asio::steady_timer timer(this->context);
        while (connection->open) {
            if (queue->chunks.empty()) {
                if (queue->ended)
                    break;
                co_await queue->changed.async_wait(Await);
                continue;
            }
            Chunk chunk = std::move(queue->chunks.front());
            queue->chunks.pop_front();
            timer.expires_at(chunk.deliverAt);
            co_await timer.async_wait(Await);
            if (connection->blackholed)
                continue;
            const auto [code, size] =
                co_await asio::async_write(to, asio::buffer(chunk.data), Await);
            queue->bytes -= chunk.data.size();
            queue->changed.cancel();
            if (code) {
                queue->isReset = true;
                break;
            }
        }
        this->endDirection(connection, to, queue->isReset);
    }

    /// Passes the end of one direction on. The connection closes when both directions have ended,
    /// or with the first reset.
    void endDirection(const ConnectionPtr &connection, tcp::socket &to, bool isReset)
    {
        // A blackholed connection stays open for its peers, as if the network path had failed.
        if (connection->blackholed)
            return;
        boost::system::error_code ignored;
        if (connection->open && !isReset) {
            to.shutdown(tcp::socket::shutdown_send, ignored);
            if (++this->endedDirections[connection.get()] < 2)
                return;
        }
        if (isReset)
            connection->reset();
        else
            connection->close();
        this->endedDirections.erase(connection.get());
        this->openConnections.erase(connection);
    }

    void cut()
    {
        const auto connections = std::move(this->openConnections);
        this->openConnections.clear();
        this->endedDirections.clear();
        for (const auto &connection : connections)
            connection->reset();
    }

    asio::io_context &context;
    RelayLink outwardLink;
    RelayLink inwardLink;
    Counter &outwardBytes;
    Counter &inwardBytes;
    Counter &acceptedConnections;
    bool isCut = false;
    std::set<ConnectionPtr> openConnections;
    // Number of ended directions of each open connection.
    std::map<const Connection *, int> endedDirections;
};

Relay::Relay(asio::io_context &context, const proto::RelaySection &link, Metrics &metrics)
    : impl(std::make_shared<Impl>(context, link, metrics))
{}

Relay::~Relay() = default;

Result<Address> Relay::forward(const Address &listen, const Address &target)
{
    boost::system::error_code code;
    const tcp::endpoint listenEndpoint(asio::ip::make_address(listen.host, code), listen.port);
    const tcp::endpoint targetEndpoint(asio::ip::make_address(target.host, code), target.port);
    auto acceptor = std::make_shared<tcp::acceptor>(this->impl->context);
    if (!code)
        acceptor->open(listenEndpoint.protocol(), code);
    if (!code)
        acceptor->set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        acceptor->bind(listenEndpoint, code);
    if (!code)
        acceptor->listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return Error{ErrorKind::InvalidSettings, toString(listen) + ": " + code.message()};
    asio::co_spawn(this->impl->context, this->impl->accept(acceptor, targetEndpoint),
                   asio::detached);
    return Address{listen.host, acceptor->local_endpoint().port()};
}

Result<Unit> Relay::applyFault(const std::string &json)
{
    proto::RelayFault fault;
    if (const auto status = google::protobuf::util::JsonStringToMessage(json, &fault); !status.ok())
        return Error{ErrorKind::BadRequest, std::string(status.message())};
    if (fault.has_cut()) {
        this->impl->isCut = fault.cut();
        if (fault.cut())
            this->impl->cut();
    }
    if (fault.has_silence()) {
        for (const auto &connection : this->impl->openConnections)
            connection->blackholed = fault.silence();
    }
    if (fault.has_latency_ms()) {
        this->impl->outwardLink.setDelay(Impl::toDelay(fault.latency_ms()));
        this->impl->inwardLink.setDelay(Impl::toDelay(fault.latency_ms()));
    }
    if (fault.has_bandwidth_kbit()) {
        this->impl->outwardLink.setBandwidth(Impl::toBitsPerSecond(fault.bandwidth_kbit()));
        this->impl->inwardLink.setBandwidth(Impl::toBitsPerSecond(fault.bandwidth_kbit()));
    }
    return Unit{};
}

size_t Relay::connections() const
{
    return this->impl->openConnections.size();
}

} // namespace tray
