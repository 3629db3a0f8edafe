// Connections of the relay. Each direction has a bounded queue of pieces with their leaving times.
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
constexpr size_t PieceBytes = 16384;
// Data on the way in one direction of a connection; more stays in the sender's socket.
constexpr size_t MaxQueuedBytes = 1u << 20;

struct Piece
{
    Instant leaves;
    std::string data;
};

/// One accepted connection and its counterpart.
struct Connection
{
    explicit Connection(tcp::socket accepted) : near(std::move(accepted)), far(near.get_executor())
    {}

    void close()
    {
        boost::system::error_code ignored;
        this->near.close(ignored);
        this->far.close(ignored);
        this->open = false;
    }

    tcp::socket near;
    tcp::socket far;
    bool open = true;
    bool silent = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Queue between the reader and the writer of one direction.
struct Direction
{
    explicit Direction(const asio::any_io_executor &executor) : changed(executor)
    {
        this->changed.expires_at(Instant::max());
    }

    std::deque<Piece> pieces;
    size_t bytes = 0;
    bool ended = false;
    // Cancelled on each change, to wake the other side.
    asio::steady_timer changed;
};

using DirectionPtr = std::shared_ptr<Direction>;

} // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
    Impl(asio::io_context &context, const proto::RelaySection &section, Metrics &metrics)
        : context(context),
          outward(delayOf(section.latency_ms()), bitsOf(section.bandwidth_kbit())),
          inward(delayOf(section.latency_ms()), bitsOf(section.bandwidth_kbit())),
          outwardBytes(metrics.counter("relay_bytes_total", "direction=\"outward\"")),
          inwardBytes(metrics.counter("relay_bytes_total", "direction=\"inward\"")),
          accepted(metrics.counter("relay_connections_total"))
    {}

    static Duration delayOf(double ms)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }

    static uint64_t bitsOf(uint32_t kbit) { return uint64_t(kbit) * 1000; }

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
        this->open.insert(connection);
        this->accepted.add();
        const auto [code] = co_await connection->far.async_connect(target, Await);
        if (code) {
            connection->close();
            this->open.erase(connection);
            co_return;
        }
        boost::system::error_code ignored;
        connection->near.set_option(tcp::no_delay(true), ignored);
        connection->far.set_option(tcp::no_delay(true), ignored);
        const auto executor = connection->near.get_executor();
        const auto there = std::make_shared<Direction>(executor);
        const auto back = std::make_shared<Direction>(executor);
        asio::co_spawn(executor, this->read(connection, connection->near, there, true),
                       asio::detached);
        asio::co_spawn(executor, this->write(connection, connection->far, there), asio::detached);
        asio::co_spawn(executor, this->read(connection, connection->far, back, false),
                       asio::detached);
        asio::co_spawn(executor, this->write(connection, connection->near, back), asio::detached);
    }

    asio::awaitable<void> read(ConnectionPtr connection, tcp::socket &from, DirectionPtr direction,
                               bool isOutward)
    {
        const auto self = this->shared_from_this();
        while (connection->open) {
            std::string data(PieceBytes, '\0');
            const auto [code, size] = co_await from.async_read_some(asio::buffer(data), Await);
            if (code)
                break;
            data.resize(size);
            if (connection->silent)
                continue;
            (isOutward ? this->outwardBytes : this->inwardBytes).add(size);
            Piece piece;
            piece.leaves = (isOutward ? this->outward : this->inward)
                               .transmit(size, std::chrono::steady_clock::now());
            piece.data = std::move(data);
            direction->pieces.push_back(std::move(piece));
            direction->bytes += size;
            direction->changed.cancel();
            while (connection->open && direction->bytes > MaxQueuedBytes)
                co_await direction->changed.async_wait(Await);
        }
        direction->ended = true;
        direction->changed.cancel();
    }

    asio::awaitable<void> write(ConnectionPtr connection, tcp::socket &to, DirectionPtr direction)
    {
        const auto self = this->shared_from_this();
        asio::steady_timer timer(this->context);
        while (connection->open) {
            if (direction->pieces.empty()) {
                if (direction->ended)
                    break;
                co_await direction->changed.async_wait(Await);
                continue;
            }
            Piece piece = std::move(direction->pieces.front());
            direction->pieces.pop_front();
            timer.expires_at(piece.leaves);
            co_await timer.async_wait(Await);
            if (connection->silent)
                continue;
            const auto [code, size] =
                co_await asio::async_write(to, asio::buffer(piece.data), Await);
            direction->bytes -= piece.data.size();
            direction->changed.cancel();
            if (code)
                break;
        }
        this->finish(connection, to);
    }

    /// Passes the end of one direction on; the connection closes once both have ended.
    void finish(const ConnectionPtr &connection, tcp::socket &to)
    {
        // A silent connection stays open for its peers, as if its path had gone.
        if (connection->silent)
            return;
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        if (connection->open && ++this->halfClosed[connection.get()] < 2)
            return;
        connection->close();
        this->halfClosed.erase(connection.get());
        this->open.erase(connection);
    }

    void cut()
    {
        const auto connections = std::move(this->open);
        this->open.clear();
        this->halfClosed.clear();
        for (const auto &connection : connections) {
            boost::system::error_code ignored;
            connection->near.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->far.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->close();
        }
    }

    asio::io_context &context;
    RelayLink outward;
    RelayLink inward;
    Counter &outwardBytes;
    Counter &inwardBytes;
    Counter &accepted;
    bool isCut = false;
    std::set<ConnectionPtr> open;
    // Ended directions of open connections.
    std::map<const Connection *, int> halfClosed;
};

Relay::Relay(asio::io_context &context, const proto::RelaySection &link, Metrics &metrics)
    : impl(std::make_shared<Impl>(context, link, metrics))
{}

Relay::~Relay() = default;

Result<Address> Relay::forward(const Address &listen, const Address &target)
{
    boost::system::error_code code;
    const tcp::endpoint near(asio::ip::make_address(listen.host, code), listen.port);
    const tcp::endpoint far(asio::ip::make_address(target.host, code), target.port);
    auto acceptor = std::make_shared<tcp::acceptor>(this->impl->context);
    if (!code)
        acceptor->open(near.protocol(), code);
    if (!code)
        acceptor->set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        acceptor->bind(near, code);
    if (!code)
        acceptor->listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return Error{ErrorKind::InvalidSettings, toString(listen) + ": " + code.message()};
    asio::co_spawn(this->impl->context, this->impl->accept(acceptor, far), asio::detached);
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
        for (const auto &connection : this->impl->open)
            connection->silent = fault.silence();
    }
    if (fault.has_latency_ms()) {
        this->impl->outward.setDelay(Impl::delayOf(fault.latency_ms()));
        this->impl->inward.setDelay(Impl::delayOf(fault.latency_ms()));
    }
    if (fault.has_bandwidth_kbit()) {
        this->impl->outward.setBandwidth(Impl::bitsOf(fault.bandwidth_kbit()));
        this->impl->inward.setBandwidth(Impl::bitsOf(fault.bandwidth_kbit()));
    }
    return Unit{};
}

size_t Relay::connections() const
{
    return this->impl->open.size();
}

} // namespace tray
