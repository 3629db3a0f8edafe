// Sends one request of a flow to an entry instance and judges the answer.
#pragma once

#include "load/Sample.h"
#include "load/Scenario.h"
#include "net/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace tray {

/// A request whose intended time has come.
struct PlannedRequest
{
    std::string flow;
    Duration intended{};
    std::string model;
    /// Position among the flow's entries, taken modulo their number.
    size_t entry = 0;
    /// Makes the idempotency key and the body differ from those of other requests.
    uint64_t sequence = 0;
};

/// Safe to use from any thread.
class RequestSender
{
public:
    RequestSender(const Scenario &scenario, HttpClient &client, Instant start);

    /// Sends the request, with the flow's repeats; never fails, the sample tells what happened.
    boost::asio::awaitable<Sample> send(PlannedRequest plan);

private:
    HttpRequest makeRequest(const PlannedRequest &plan) const;
    std::vector<Address> entriesOf(const proto::LoadFlowSection &flow) const;
    boost::asio::awaitable<void> attempt(Address address, HttpRequest request, bool stream,
                                         Sample &sample);

    const Scenario &scenario;
    HttpClient &client;
    const Instant start;
};

/// Takes error code and ran from an error answer; the code is http_STATUS if the body has none.
void readErrorAnswer(int status, const std::string &body, Sample &sample);

/// Judges the whole text of a stream: it is good if it ends with the end mark and has no error.
void readStreamEnd(const std::string &text, Sample &sample);

} // namespace tray
