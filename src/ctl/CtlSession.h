// Requests that trayctl sends to the control ports of processes and to the platform's object API.
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

/// Session of one trayctl command. All calls block until they have a result.
class CtlSession
{
public:
    /// Calls that need an address that is not given fail with BadRequest. The timeout applies to
    /// each request.
    CtlSession(std::optional<Address> entry, std::optional<Address> platform, Duration timeout);

    /// Sends a control request to the process that is given by --entry.
    Result<proto::ControlReply> sendRequest(proto::ControlRequest request);
    /// Sends a control request to any process.
    Result<proto::ControlReply> sendRequest(const Address &peer, proto::ControlRequest request);
    /// Reads the state of the system that the process of --entry knows.
    Result<proto::StatusReply> readStatus();
    /// Reads the memory sizes of all engines that the process of --entry knows; empty without
    /// --entry or if the process does not answer.
    std::vector<EngineCapacity> readEngines();
    bool hasEntry() const { return this->entry.has_value(); }
    /// Reads the current configuration from the platform.
    Result<TicketBoard> readBoard();
    /// Checks a ticket against the current configuration without submitting it.
    Result<TicketPlan> check(const proto::Ticket &ticket);
    /// Submits a ticket, with retries for at most the limit.
    Result<TicketAcceptance> submit(const proto::Ticket &ticket, Duration limit);

private:
    /// Runs a coroutine to completion and returns its result.
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
