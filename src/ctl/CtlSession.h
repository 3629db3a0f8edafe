// Connections of the operators' client to a process and to the platform.
#pragma once

#include "ctl/TicketSubmitter.h"
#include "edge/HttpObjectApi.h"
#include "net/ControlClient.h"
#include "net/HttpClient.h"

#include "control.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>

namespace tray {

/// Blocking calls for a command line.
class CtlSession
{
public:
    /// Either address may be absent; calls that need it then fail with BadRequest.
    CtlSession(std::optional<Address> entry, std::optional<Address> platform, Duration timeout);

    /// Asks the process that --entry names.
    Result<proto::ControlReply> ask(proto::ControlRequest request);
    /// Asks any process.
    Result<proto::ControlReply> ask(const Address &peer, proto::ControlRequest request);
    Result<proto::StatusReply> status();
    /// Memory of all engines known; empty without --entry.
    std::vector<EngineRoom> engines();
    bool hasEntry() const { return this->entry.has_value(); }
    Result<TicketBoard> board();
    Result<TicketPlan> check(const proto::Ticket &ticket);
    Result<TicketAcceptance> submit(const proto::Ticket &ticket, Duration limit);

private:
    /// Runs a coroutine to its end.
    template <typename T>
    Result<T> run(boost::asio::awaitable<Result<T>> task)
    {
        Result<T> outcome = Error{ErrorKind::Internal, "the call did not end"};
        boost::asio::co_spawn(this->context, std::move(task),
                              [&](const std::exception_ptr &failure, Result<T> result) {
                                  if (!failure)
                                      outcome = std::move(result);
                              });
        this->context.restart();
        this->context.run();
        return outcome;
    }

    std::optional<Address> entry;
    std::optional<Address> platform;
    const Duration timeout;
    boost::asio::io_context context;
    Metrics metrics;
    HttpClient http;
    HttpObjectApi api;
    std::minstd_rand randomSource;
    TicketSubmitter submitter;
    ControlClient client;
};

} // namespace tray
