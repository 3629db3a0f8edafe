// Probes of an upstream after a connection to it has broken.
#include "gateway/SuspectExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace tray;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// An upstream that resets each connection before its caller has noticed that it is open.
class ResettingUpstream
{
public:
    ResettingUpstream()
        : exchange(this->context, this->client, this->makePeers()),
          acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->acceptor.non_blocking(true);
        this->entry.id = "i-1";
        this->entry.address = {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    /// A connection breaks under a request, and the probes that follow end.
    void breakConnection()
    {
        const SuspectIdentity request{RequestDigest, {}, {}};
        const Instant now = clockNow();
        this->exchange.handleBreak(request, "r1", this->entry, now, now);
        while (this->exchange.isProbing(this->entry.id)) {
            this->context.restart();
            // Runs the connect and what follows it in separate steps.
            this->context.poll_one();
            this->resetConnection();
        }
    }

    uint32_t crashCount()
    {
        return this->exchange.crashTracker().crashCount(RequestDigest, clockNow());
    }

    /// Number of connections after which the port is closed.
    std::optional<int> connectionsLeft;
    int refusals = 0;

private:
    static constexpr uint64_t RequestDigest = 7;

    void resetConnection()
    {
        boost::system::error_code code;
        tcp::socket socket(this->context);
        this->acceptor.accept(socket, code);
        if (code)
            return;
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        if (this->connectionsLeft && --*this->connectionsLeft == 0)
            this->acceptor.close();
    }

    SuspectExchange::Peers makePeers()
    {
        SuspectExchange::Peers peers;
        peers.sendToDataCentre = [](const proto::Datagram &) {};
        peers.sendToOthers = [](const proto::Datagram &, uint64_t) {};
        peers.probeOrder = [](uint64_t) { return size_t{0}; };
        peers.upstreamRefused = [this](const std::string &, uint64_t) { ++this->refusals; };
        peers.upstreamProbed = [] {};
        return peers;
    }

    asio::io_context context;
    HttpClient client{context};
    SuspectExchange exchange;
    tcp::acceptor acceptor;
    UpstreamEntry entry;
};

} // namespace

TEST_CASE("Probes that are reset tell an upstream at its limit of connections from one that ends")
{
    ResettingUpstream upstream;
    SUBCASE("an upstream that goes on resetting connections is running")
    {
        for (int i = 0; i < 4; ++i)
            upstream.breakConnection();
        CHECK(upstream.refusals == 0);
        CHECK(upstream.crashCount() == 0);
    }
    SUBCASE("an upstream that closes its port after a reset has ended")
    {
        upstream.connectionsLeft = 1;
        upstream.breakConnection();
        CHECK(upstream.refusals == 1);
        CHECK(upstream.crashCount() == 1);
    }
}
