// Guards against a port that receives nothing more after a datagram that cannot be parsed or whose
// handler throws.
#include "fleet/DatagramPort.h"
#include "base/Time.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace tray;
namespace asio = boost::asio;

TEST_CASE("A port continues to receive after a datagram that it cannot handle")
{
    asio::io_context context;
    std::vector<std::string> receivedFrom;
    DatagramPort port(context, "one", [&](const proto::Datagram &datagram, const Address &) {
        if (datagram.sender() == "odd")
            throw std::runtime_error("unexpected datagram");
        receivedFrom.push_back(datagram.sender());
    });
    const auto address = value(port.listen({"127.0.0.1", 0}));
    DatagramPort unexpected(context, "odd", [](const proto::Datagram &, const Address &) {});
    DatagramPort valid(context, "usual", [](const proto::Datagram &, const Address &) {});
    REQUIRE(isOk(unexpected.listen({"127.0.0.1", 0})));
    REQUIRE(isOk(valid.listen({"127.0.0.1", 0})));

    SUBCASE("a datagram whose handler throws")
    {
        unexpected.send(address, proto::Datagram());
    }
    SUBCASE("bytes that are no datagram")
    {
        asio::ip::udp::socket socket(context, {asio::ip::udp::v4(), 0});
        const std::string bytes("\xff\xff\xff\x01\x02");
        socket.send_to(asio::buffer(bytes), {asio::ip::make_address(address.host), address.port});
    }
    valid.send(address, proto::Datagram());
    context.run_for(milliseconds(200));
    CHECK(receivedFrom == std::vector<std::string>{"usual"});
}
