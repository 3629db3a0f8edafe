#include "ctl/CtlSession.h"

#include "base/Hash.h"

namespace tray {

namespace {

Error missingOption(const std::string &option)
{
    return {ErrorKind::BadRequest, "the command needs " + option};
}

boost::asio::awaitable<Result<proto::ControlReply>> send(ControlClient &client, Address peer,
                                                         std::string message, Duration timeout)
{
    const auto answer = co_await client.request(peer, std::move(message), timeout);
    if (!isOk(answer))
        co_return error(answer);
    proto::ControlReply reply;
    if (!reply.ParseFromString(value(answer)))
        co_return Error{ErrorKind::UpstreamFailed, toString(peer) + ": reply cannot be read"};
    if (reply.error_kind() != 0)
        co_return Error{static_cast<ErrorKind>(reply.error_kind()), reply.message()};
    co_return reply;
}

} // namespace

CtlSession::CtlSession(std::optional<Address> entry, std::optional<Address> platform,
                       Duration timeout)
    : entry(std::move(entry)), platform(std::move(platform)), timeout(timeout), http(context),
      api(http, this->platform.value_or(Address{}), timeout, metrics),
      randomSource(static_cast<uint32_t>(newNonce())),
      submitter(api, [this] { return std::uniform_real_distribution<>(0, 1)(this->randomSource); })
{}

Result<proto::ControlReply> CtlSession::sendRequest(proto::ControlRequest request)
{
    if (!this->entry)
        return missingOption("--entry");
    return this->sendRequest(*this->entry, std::move(request));
}

Result<proto::ControlReply> CtlSession::sendRequest(const Address &peer,
                                                    proto::ControlRequest request)
{
    return this->run(send(this->client, peer, request.SerializeAsString(), this->timeout));
}

Result<proto::StatusReply> CtlSession::readStatus()
{
    proto::ControlRequest request;
    request.mutable_status();
    auto reply = this->sendRequest(std::move(request));
    if (!isOk(reply))
        return error(reply);
    return std::move(*value(reply).mutable_status());
}

std::vector<EngineCapacity> CtlSession::readEngines()
{
    std::vector<EngineCapacity> engines;
    if (!this->entry)
        return engines;
    const auto status = this->readStatus();
    if (!isOk(status))
        return engines;
    for (const auto &upstream : value(status).upstreams()) {
        if (!upstream.service())
            engines.push_back({upstream.upstream(), upstream.pool(), upstream.memory_bytes()});
    }
    return engines;
}

Result<TicketBoard> CtlSession::readBoard()
{
    if (!this->platform)
        return missingOption("--platform");
    return this->run(this->submitter.readBoard());
}

Result<TicketPlan> CtlSession::check(const proto::Ticket &ticket)
{
    if (!this->platform)
        return missingOption("--platform");
    auto engines = this->readEngines();
    return this->run(this->submitter.check(ticket, std::move(engines)));
}

Result<TicketAcceptance> CtlSession::submit(const proto::Ticket &ticket, Duration limit)
{
    if (!this->platform)
        return missingOption("--platform");
    auto engines = this->readEngines();
    return this->run(this->submitter.submit(ticket, std::move(engines),
                                            std::chrono::steady_clock::now() + limit));
}

} // namespace tray
