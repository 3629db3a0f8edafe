// Test fixture: a gateway with a caller, a store and two upstreams in one process, over real
// sockets.
#pragma once

#include "HeaderCodec.h"
#include "StoreClient.h"
#include "StubStore.h"
#include "StubUpstream.h"
#include "gateway/Gateway.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <unistd.h>

namespace tray::test {

using platform::HeaderCodec;
using platform::StoreClient;
namespace asio = boost::asio;

inline const std::string Config = R"({"version":1,"routes":[
 {"name":"look","host":"a.example","path_prefix":"/look/","kind":"safe","timeout_ms":1500,
  "max_attempts":2,"service":"shop"},
 {"name":"take","host":"a.example","path_prefix":"/take/","kind":"unsafe","timeout_ms":1500,
  "max_attempts":1,"service":"shop"},
 {"name":"tell","host":"a.example","path_prefix":"/tell/","kind":"streaming","timeout_ms":1500,
  "max_attempts":1,"service":"shop"},
 {"name":"retell","host":"a.example","path_prefix":"/retell/","kind":"streaming",
  "timeout_ms":1500,"max_attempts":2,"resumable":true,"service":"shop"}],
 "services":[{"name":"shop","max_conns":50}],
 "limits":{"header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
  "idle_timeout_ms":5000}})";

/// A gateway with a store, a steward and two upstreams on one I/O context.
class GatewayFixture
{
public:
    explicit GatewayFixture(StubUpstream::Behaviour first, StubUpstream::Behaviour second = {},
                            Duration stopGrace = std::chrono::seconds(8),
                            size_t bodyMemoryBytes = GatewaySettings().bodyMemoryBytes,
                            const std::array<std::string, 2> &versions = {})
        : store(this->context), http(this->context), caller(this->context),
          client(this->http, this->store.listen()), first(this->context, std::move(first)),
          second(
              this->context,
              second ? std::move(second) : [](const HttpRequest &request) -> StubReply {
                  return {StubUpstream::sealedAnswer(request, 200, "second")};
              })
    {
        this->store.put("config", "main", Config);
        // The first upstream is in the gateway's data centre and so gets the first attempt.
        this->firstAddress = this->first.listen();
        this->addUpstream("i-1", "here", this->firstAddress, "shop", versions[0]);
        this->secondAddress = this->second.listen();
        this->addUpstream("i-2", "there", this->secondAddress, "shop", versions[1]);
        const auto stewardAddress = this->steward.listen({"127.0.0.1", 0});
        REQUIRE(isOk(stewardAddress));
        this->stewardPort = value(stewardAddress).port;
        GatewaySettings settings = this->makeSettings("front-1", "here");
        settings.shutdownGracePeriod = stopGrace;
        settings.bodyMemoryBytes = bodyMemoryBytes;
        this->datagrams = settings.datagramAddress;
        this->address = settings.callerAddress;
        this->readiness = settings.readinessAddress;
        this->gateway.emplace(this->context, settings, this->client, this->codec, this->metrics);
        const auto started = this->gateway->start();
        INFO((isOk(started) ? "" : error(started).message));
        REQUIRE(isOk(started));
    }

    /// Starts another gateway that uses the same store. Requests of send() go to the gateway whose
    /// addresses are in this->address and this->readiness.
    std::unique_ptr<Gateway> startPeer(const std::string &instance, const std::string &dataCentre)
    {
        const GatewaySettings settings = this->makeSettings(instance, dataCentre);
        auto peer = std::make_unique<Gateway>(this->context, settings, this->client, this->codec,
                                              this->peerMetrics);
        REQUIRE(isOk(peer->start()));
        this->address = settings.callerAddress;
        this->readiness = settings.readinessAddress;
        return peer;
    }

    /// Schedules a step to run after a delay, while the context runs.
    void runAfter(Duration delay, std::function<void()> step)
    {
        asio::co_spawn(
            this->context,
            [this, delay, step = std::move(step)]() -> asio::awaitable<void> {
                asio::steady_timer timer(this->context, delay);
                co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
                step();
            },
            asio::detached);
    }

    void addUpstream(const std::string &id, const std::string &zone, const Address &address,
                     const std::string &service = "shop", const std::string &version = "")
    {
        this->store.put("servers", id,
                        fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","slots":4,)"
                                    R"("state":"ready","sequence":1,"models":[],"version":"{}"}})",
                                    service, toString(address), zone, version));
    }

    /// Sends the gateway a steward's snapshot in which engine "e-1" loads a model, with the time
    /// left in ms, or holds the model.
    void sendModelSnapshot(const std::string &model, std::optional<uint32_t> loadingLeftMs)
    {
        proto::Datagram datagram;
        auto *snapshot = datagram.mutable_snapshot();
        snapshot->set_upstream_id("e-1");
        snapshot->set_can_order(true);
        snapshot->set_steward_incarnation(this->stewardIncarnation);
        if (loadingLeftMs) {
            snapshot->set_loading(model);
            snapshot->set_loading_left_ms(*loadingLeftMs);
        } else {
            snapshot->add_models()->set_name(model);
        }
        this->steward.send(this->datagrams, std::move(datagram));
    }

    /// Ends the steward and starts it anew: it has forgotten the streams that it was told of.
    void restartSteward()
    {
        this->stewardOrigins = {};
        ++this->stewardIncarnation;
    }

    /// Sends a request once the gateway is ready and returns the complete answer.
    Result<HttpResponse> send(const std::string &target, HttpHeaders headers = {},
                              std::string body = "", Duration timeout = std::chrono::seconds(5))
    {
        HttpRequest request;
        request.method = body.empty() ? "GET" : "POST";
        request.target = target;
        request.headers = {{"Host", "a.example"}, {"Marjoramtray-Request-Id", this->requestId}};
        request.headers.insert(request.headers.end(), headers.begin(), headers.end());
        request.body = std::move(body);
        std::optional<Result<HttpResponse>> answer;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                co_await this->awaitReady();
                auto result = co_await this->caller.request(this->address, request, timeout);
                answer = std::move(result);
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run_for(std::chrono::seconds(20));
        REQUIRE(answer.has_value());
        return std::move(*answer);
    }

    /// Sends a request once the gateway is ready and returns all bytes that the gateway sends until
    /// it closes the connection.
    std::string sendRaw(const std::string &bytes)
    {
        std::string answer;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                co_await this->awaitReady();
                asio::ip::tcp::socket socket(this->context);
                const asio::ip::tcp::endpoint gateway(asio::ip::make_address(this->address.host),
                                                      this->address.port);
                constexpr auto Await = asio::as_tuple(asio::use_awaitable);
                co_await socket.async_connect(gateway, Await);
                co_await asio::async_write(socket, asio::buffer(bytes), Await);
                co_await asio::async_read(socket, asio::dynamic_buffer(answer), Await);
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run_for(std::chrono::seconds(10));
        return answer;
    }

    void runFor(Duration duration)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    int statusOf(const std::string &target, const std::string &body = "")
    {
        const auto answer = this->send(target, {}, body);
        return isOk(answer) ? value(answer).status : 0;
    }

    asio::io_context context;
    StubStore store;
    HttpClient http;
    HttpClient caller;
    StoreClient client;
    HeaderCodec codec;
    Metrics metrics;
    Metrics peerMetrics;
    StubUpstream first;
    StubUpstream second;
    /// Placements that the gateway has requested from the steward's engine.
    std::vector<proto::PlacementWish> placementRequests;
    /// Origins of streams that the steward was told; it answers queries as long as it is set to.
    StreamOrigins stewardOrigins;
    uint64_t stewardIncarnation = 1;
    bool stewardAnswers = true;
    /// Called for each datagram that the steward receives.
    std::function<void(const proto::Datagram &datagram, const Address &sender)> onStewardDatagram;
    DatagramPort steward{
        context, "side-1", [this](const proto::Datagram &datagram, const Address &sender) {
            if (this->onStewardDatagram)
                this->onStewardDatagram(datagram, sender);
            if (datagram.has_placement_wish())
                this->placementRequests.push_back(datagram.placement_wish());
            if (datagram.has_stream_origins())
                this->stewardOrigins.merge("", datagram.stream_origins(), clockNow());
            if (datagram.has_stream_origin_query() && this->stewardAnswers) {
                proto::Datagram answer;
                *answer.mutable_stream_origins() =
                    this->stewardOrigins.answer(datagram.stream_origin_query(), clockNow());
                this->steward.send(sender, std::move(answer));
            }
        }};
    Address address;
    Address readiness;
    /// Id of the requests that send() sends.
    std::string requestId = "r1";
    Address datagrams;
    Address firstAddress;
    Address secondAddress;
    uint16_t stewardPort = 0;
    std::optional<Gateway> gateway;

private:
    GatewaySettings makeSettings(const std::string &instance, const std::string &dataCentre) const
    {
        GatewaySettings settings;
        settings.instance = instance;
        settings.dataCentre = dataCentre;
        settings.region = "r";
        settings.regionByDataCentre = {{"here", "r"}, {"there", "r"}};
        settings.callerAddress = freeAddress();
        settings.readinessAddress = freeAddress();
        settings.stewardPort = this->stewardPort;
        settings.datagramAddress = freeDatagramAddress();
        return settings;
    }

    static Address freeAddress() { return findFreeAddress<asio::ip::tcp::acceptor>(); }
    static Address freeDatagramAddress() { return findFreeAddress<asio::ip::udp::socket>(); }

    /// Finds a free port below those that the kernel gives to connections, so that no connection of
    /// another program takes it before it is bound. Programs begin at different ports.
    template <typename Socket>
    static Address findFreeAddress()
    {
        constexpr uint32_t FirstPort = 10000;
        constexpr uint32_t Ports = 20000;
        constexpr uint32_t Step = 7919;
        static uint32_t tried = static_cast<uint32_t>(::getpid()) * Step;
        asio::io_context context;
        while (true) {
            const auto port = static_cast<uint16_t>(FirstPort + ++tried % Ports);
            const typename Socket::endpoint_type endpoint(asio::ip::make_address("127.0.0.1"),
                                                          port);
            Socket socket(context);
            boost::system::error_code code;
            socket.open(endpoint.protocol(), code);
            socket.bind(endpoint, code);
            if (!code)
                return {"127.0.0.1", port};
        }
    }

    asio::awaitable<void> awaitReady()
    {
        for (int i = 0; i < 400; ++i) {
            HttpRequest question;
            question.target = "/v1/readiness";
            const auto answer =
                co_await this->caller.request(this->readiness, question, std::chrono::seconds(1));
            if (isOk(answer) && value(answer).status == 200)
                co_return;
            asio::steady_timer timer(this->context, milliseconds(10));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
};

} // namespace tray::test
