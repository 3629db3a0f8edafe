// Submission of tickets to the stand-in for the object API. Guards against a ticket that is lost or
// applied twice when the platform has an outage or its answer to a write is lost.
#include "ctl/TicketSubmitter.h"
#include "FakePlatform.h"
#include "edge/HttpObjectApi.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace tray;
namespace asio = boost::asio;

namespace {

proto::Ticket poolTicket(uint64_t number, const std::string &name)
{
    proto::Ticket ticket;
    ticket.set_number(number);
    auto &object = *ticket.add_objects();
    object.set_name(name);
    object.mutable_pool()->set_engines(true);
    return ticket;
}

struct Fixture
{
    asio::io_context context;
    proto::FakePlatformSection settings;
    FakePlatform platform{context, settings};
    Address address = value(platform.listen({"127.0.0.1", 0}));
    Metrics metrics;
    HttpClient http{context};
    HttpObjectApi api{http, address, milliseconds(300), metrics};
    TicketSubmitter submitter{api, [] { return 0.5; }};

    Result<TicketAcceptance> submit(const proto::Ticket &ticket, Duration limit)
    {
        Result<TicketAcceptance> outcome = Error{};
        asio::co_spawn(context,
                       this->submitter.submit(ticket, {}, std::chrono::steady_clock::now() + limit),
                       [&](const std::exception_ptr &, Result<TicketAcceptance> result) {
                           outcome = std::move(result);
                           this->context.stop();
                       });
        this->context.restart();
        this->context.run_for(std::chrono::seconds(20));
        return outcome;
    }
};

} // namespace

TEST_CASE("A ticket is submitted by one conditional update of the head")
{
    Fixture fixture;
    SUBCASE("a ticket is accepted, and submitting it again has no further effect")
    {
        const auto first = fixture.submit(poolTicket(1, "a"), std::chrono::seconds(5));
        REQUIRE(isOk(first));
        CHECK(value(first).headVersion == 1);
        const auto again = fixture.submit(poolTicket(1, "a"), std::chrono::seconds(5));
        REQUIRE(isOk(again));
        CHECK(value(again).alreadyAccepted);
        CHECK(value(again).headVersion == 1);
    }
    SUBCASE("an answer lost after the update neither repeats nor loses the ticket")
    {
        boost::json::object fault;
        fault["lost_answers"] = 3;
        REQUIRE(isOk(fixture.platform.setFault(fault)));
        const auto result = fixture.submit(poolTicket(1, "a"), std::chrono::seconds(5));
        REQUIRE(isOk(result));
        CHECK(value(result).headVersion == 1);
    }
    SUBCASE("an outage fails the submission without an effect")
    {
        boost::json::object fault;
        fault["outage"] = true;
        REQUIRE(isOk(fixture.platform.setFault(fault)));
        const auto result = fixture.submit(poolTicket(1, "a"), milliseconds(300));
        REQUIRE(!isOk(result));
        CHECK(error(result).kind == ErrorKind::PlatformUnavailable);
        fault["outage"] = false;
        REQUIRE(isOk(fixture.platform.setFault(fault)));
        CHECK(isOk(fixture.submit(poolTicket(1, "a"), std::chrono::seconds(5))));
    }
}
