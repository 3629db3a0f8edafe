// Sends the requests of a flow to entry instances, with retries, and classifies the answers.
#pragma once

#include "load/Sample.h"
#include "load/Scenario.h"
#include "net/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace tray {

/// A request that is due.
struct PlannedRequest
{
    std::string flow;
    Duration intended{};
    std::string model;
    /// Index of the flow's entry instance that gets the first attempt, modulo their number.
    size_t entryIndex = 0;
    /// Number of the request in its flow; makes its idempotency key and body unique in the flow.
    uint64_t sequence = 0;
};

/// Sends requests and records their outcomes. Thread-safe.
class RequestSender
{
public:
    RequestSender(const Scenario &scenario, HttpClient &client, Instant start);

    /// Sends the request and retries it up to the limit of the flow. Failures are recorded in the
    /// sample.
    boost::asio::awaitable<Sample> send(PlannedRequest plan);

private:
    HttpRequest makeRequest(const PlannedRequest &plan) const;
    std::vector<Address> entryAddresses(const proto::LoadFlowSection &flow) const;
    boost::asio::awaitable<void> attempt(Address address, HttpRequest request, bool stream,
                                         Sample &sample);

    const Scenario &scenario;
    HttpClient &client;
    const Instant start;
};

/// Records the error code of an error answer, and whether the request was executed, in the sample.
/// The code is http_STATUS if the body contains no error.
void recordErrorAnswer(int status, const std::string &body, Sample &sample);

/// Records whether a complete stream succeeded: it contains the end marker and no error.
void recordStreamResult(const std::string &text, Sample &sample);

} // namespace tray
