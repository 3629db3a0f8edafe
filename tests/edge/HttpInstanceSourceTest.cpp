// Tests the client of the instance list against answers that the fake platform does not give.
#include "edge/HttpInstanceSource.h"

#include "net/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

using namespace tray;
namespace asio = boost::asio;

TEST_CASE("An entry of the instance list that cannot be parsed hides no other")
{
    std::string odd;
    SUBCASE("nested too deeply")
    {
        odd = std::string(40, '[') + std::string(40, ']');
    }
    SUBCASE("with a number too large")
    {
        odd = R"({"id":"odd","weight":1e400000000000})";
    }
    asio::io_context context;
    HttpServer server(context, [&](HttpRequest, HttpResponder &responder) -> asio::awaitable<void> {
        HttpResponse answer =
            makeResponse(200, "application/json",
                         R"({"revision":3,"instances":[{"id":"a"},)" + odd + R"(,{"id":"b"}]})");
        co_await responder.respond(std::move(answer));
    });
    const Address address = value(server.listen({"127.0.0.1", 0}));
    HttpClient http(context);
    Metrics metrics;
    HttpInstanceSource source(http, address, milliseconds(500), metrics);
    Result<proto::InstanceList> list = Error{ErrorKind::Internal, "did not end"};
    asio::co_spawn(context, source.read(),
                   [&](const std::exception_ptr &, Result<proto::InstanceList> result) {
                       list = std::move(result);
                       context.stop();
                   });
    context.run_for(std::chrono::seconds(5));
    REQUIRE(isOk(list));
    std::set<std::string> ids;
    for (const auto &entry : value(list).instances())
        ids.insert(entry.id());
    CHECK(ids.contains("a"));
    CHECK(ids.contains("b"));
}
