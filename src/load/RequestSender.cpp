#include "load/RequestSender.h"

#include "base/Hash.h"

#include "load_report.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Text of about one token: an English token has about four characters.
constexpr std::string_view TokenText = "amp ";
// Delay before a retry of a request whose answer specifies no time.
constexpr auto RetryDelay = milliseconds(200);

std::string jsonString(const std::string &text)
{
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            quoted += '\\';
        quoted += c;
    }
    return quoted + '"';
}

std::string makePrompt(const proto::LoadFlowSection &flow, uint64_t sequence)
{
    if (!flow.prompt().empty())
        return flow.prompt();
    std::string prompt = fmt::format("request {} ", sequence);
    for (uint32_t i = 0; i < flow.prompt_tokens(); ++i)
        prompt += TokenText;
    return prompt;
}

bool parseError(const std::string &json, proto::ErrorBody &body)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    return google::protobuf::util::JsonStringToMessage(json, &body, options).ok() &&
           body.has_error();
}

void recordError(const proto::ErrorBody::Detail &detail, Sample &sample)
{
    sample.answered = false;
    sample.errorCode = detail.code().empty() ? detail.type() : detail.code();
    sample.ran = enumFromName<Ran>(detail.ran()).value_or(Ran::Unknown);
}

void recordTransportError(const Error &problem, Sample &sample)
{
    sample.answered = false;
    sample.errorCode = "transport_" + std::string(enumName(problem.kind));
    sample.ran = problem.kind == ErrorKind::UpstreamUnreachable ? Ran::No : Ran::Unknown;
}

} // namespace

void recordErrorAnswer(int status, const std::string &body, Sample &sample)
{
    sample.answered = false;
    sample.errorCode = fmt::format("http_{}", status);
    sample.ran = Ran::Unknown;
    proto::ErrorBody parsed;
    if (parseError(body, parsed))
        recordError(parsed.error(), sample);
}

void recordStreamResult(const std::string &text, Sample &sample)
{
    constexpr std::string_view EndMarker = "data: [DONE]";
    constexpr std::string_view ErrorPrefix = "data: {\"error\"";
    const auto errorAt = text.find(ErrorPrefix);
    if (errorAt != std::string::npos) {
        const auto jsonStart = errorAt + std::string_view("data: ").size();
        proto::ErrorBody parsed;
        sample.errorCode = "stream_error";
        sample.answered = false;
        if (parseError(text.substr(jsonStart, text.find('\n', jsonStart) - jsonStart), parsed))
            recordError(parsed.error(), sample);
        return;
    }
    sample.answered = text.find(EndMarker) != std::string::npos;
    if (!sample.answered) {
        sample.errorCode = "stream_without_end";
        sample.ran = Ran::Unknown;
    }
}

RequestSender::RequestSender(const Scenario &scenario, HttpClient &client, Instant start)
    : scenario(scenario), client(client), start(start)
{}

std::vector<Address> RequestSender::entryAddresses(const proto::LoadFlowSection &flow) const
{
    std::vector<Address> addresses;
    for (const auto &[name, settings] : this->scenario.entries) {
        if (flow.data_centre() == "any" || flow.data_centre() == settings.entry().data_centre())
            addresses.push_back(parseAddressList(settings.entry().address()).front());
    }
    return addresses;
}

HttpRequest RequestSender::makeRequest(const PlannedRequest &plan) const
{
    const auto &flow = this->scenario.flows.at(plan.flow).flow();
    const auto &clientAccount =
        this->scenario.clientAccounts.at(flow.client_account()).client_account();
    HttpRequest request;
    request.headers.emplace_back("Authorization", "Bearer " + clientAccount.credential());
    if (flow.idempotency_key())
        request.headers.emplace_back("Idempotency-Key",
                                     fmt::format("{}-{}-{}", plan.flow, this->scenario.load.seed(),
                                                 toHex(hash64(plan.flow, plan.sequence))));
    if (flow.kind() == "service") {
        request.method = flow.method();
        request.target = "/services/" + flow.service() + "/" + flow.path();
        if (request.method != "GET")
            request.body = fmt::format("{{\"request\":{}}}", plan.sequence);
    } else {
        request.method = "POST";
        const std::string prompt = jsonString(makePrompt(flow, plan.sequence));
        const bool chat = flow.kind() == "chat";
        request.target = chat ? "/v1/chat/completions" : "/v1/completions";
        request.body =
            fmt::format(R"({{"model":{},{},"max_tokens":{},"stream":{}}})", jsonString(plan.model),
                        chat ? R"("messages":[{"role":"user","content":)" + prompt + "}]"
                             : R"("prompt":)" + prompt,
                        flow.output_tokens(), flow.stream() ? "true" : "false");
    }
    if (!request.body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    return request;
}

asio::awaitable<void> RequestSender::attempt(Address address, HttpRequest request, bool stream,
                                             Sample &sample)
{
    const Duration timeout = milliseconds(this->scenario.load.timeout_ms());
    auto opened = co_await this->client.open(address, std::move(request), timeout);
    if (!isOk(opened)) {
        recordTransportError(error(opened), sample);
        co_return;
    }
    auto &answer = *value(opened);
    sample.upstream = std::string(findHeader(answer.headers(), "X-Tray-Upstream"));
    std::string text;
    while (true) {
        auto chunk = co_await answer.read(timeout);
        if (!isOk(chunk)) {
            recordTransportError(error(chunk), sample);
            co_return;
        }
        if (value(chunk).empty())
            break;
        if (stream && !sample.firstToken && answer.status() == 200)
            sample.firstToken = std::chrono::steady_clock::now() - this->start;
        text += value(chunk);
    }
    const bool succeeded = answer.status() >= 200 && answer.status() < 300;
    if (!succeeded)
        recordErrorAnswer(answer.status(), text, sample);
    else if (stream)
        recordStreamResult(text, sample);
    else
        sample.answered = true;
}

asio::awaitable<Sample> RequestSender::send(PlannedRequest plan)
{
    const auto &flow = this->scenario.flows.at(plan.flow).flow();
    const auto addresses = this->entryAddresses(flow);
    const HttpRequest request = this->makeRequest(plan);
    Sample sample;
    sample.flow = plan.flow;
    sample.intended = plan.intended;
    sample.sent = std::chrono::steady_clock::now() - this->start;
    for (uint32_t retryCount = 0;; ++retryCount) {
        const Address &address = addresses[(plan.entryIndex + retryCount) % addresses.size()];
        co_await this->attempt(address, request, flow.stream(), sample);
        if (sample.answered || retryCount >= flow.repeats())
            break;
        ++sample.retries;
        asio::steady_timer timer(co_await asio::this_coro::executor, RetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    sample.done = std::chrono::steady_clock::now() - this->start;
    co_return sample;
}

} // namespace tray
