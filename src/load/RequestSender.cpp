// Requests of the load tool.
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

// An English token is about four characters.
constexpr std::string_view TokenText = "amp ";
// Wait before a repeat whose answer names no time.
constexpr auto DefaultRepeatDelay = milliseconds(200);

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

void takeError(const proto::ErrorBody::Detail &detail, Sample &sample)
{
    sample.answered = false;
    sample.failure = detail.code().empty() ? detail.type() : detail.code();
    sample.ran = enumFromName<Ran>(detail.ran()).value_or(Ran::Unknown);
}

void takeTransportError(const Error &problem, Sample &sample)
{
    sample.answered = false;
    sample.failure = "transport_" + std::string(enumName(problem.kind));
    sample.ran = problem.kind == ErrorKind::UpstreamUnreachable ? Ran::No : Ran::Unknown;
}

} // namespace

void readErrorAnswer(int status, const std::string &body, Sample &sample)
{
    sample.answered = false;
    sample.failure = fmt::format("http_{}", status);
    sample.ran = Ran::Unknown;
    proto::ErrorBody parsed;
    if (parseError(body, parsed))
        takeError(parsed.error(), sample);
}

void readStreamEnd(const std::string &text, Sample &sample)
{
    constexpr std::string_view EndMark = "data: [DONE]";
    constexpr std::string_view ErrorMark = "data: {\"error\"";
    const auto errorAt = text.find(ErrorMark);
    if (errorAt != std::string::npos) {
        const auto from = errorAt + std::string_view("data: ").size();
        proto::ErrorBody parsed;
        sample.failure = "stream_error";
        sample.answered = false;
        if (parseError(text.substr(from, text.find('\n', from) - from), parsed))
            takeError(parsed.error(), sample);
        return;
    }
    sample.answered = text.find(EndMark) != std::string::npos;
    if (!sample.answered) {
        sample.failure = "stream_without_end";
        sample.ran = Ran::Unknown;
    }
}

RequestSender::RequestSender(const Scenario &scenario, HttpClient &client, Instant start)
    : scenario(scenario), client(client), start(start)
{}

std::vector<Address> RequestSender::entriesOf(const proto::LoadFlowSection &flow) const
{
    std::vector<Address> addresses;
    for (const auto &[name, settings] : this->scenario.entries) {
        if (flow.data_centre() == "any" || flow.data_centre() == settings.entry().data_centre())
            addresses.push_back(addressesOf(settings.entry().address()).front());
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
        takeTransportError(error(opened), sample);
        co_return;
    }
    auto &answer = *value(opened);
    sample.upstream = std::string(findHeader(answer.headers(), "X-Tray-Upstream"));
    std::string text;
    while (true) {
        auto piece = co_await answer.read(timeout);
        if (!isOk(piece)) {
            takeTransportError(error(piece), sample);
            co_return;
        }
        if (value(piece).empty())
            break;
        if (stream && !sample.firstToken && answer.status() == 200)
            sample.firstToken = std::chrono::steady_clock::now() - this->start;
        text += value(piece);
    }
    const bool good = answer.status() >= 200 && answer.status() < 300;
    if (!good)
        readErrorAnswer(answer.status(), text, sample);
    else if (stream)
        readStreamEnd(text, sample);
    else
        sample.answered = true;
}

asio::awaitable<Sample> RequestSender::send(PlannedRequest plan)
{
    const auto &flow = this->scenario.flows.at(plan.flow).flow();
    const auto addresses = this->entriesOf(flow);
    const HttpRequest request = this->makeRequest(plan);
    Sample sample;
    sample.flow = plan.flow;
    sample.intended = plan.intended;
    sample.sent = std::chrono::steady_clock::now() - this->start;
    for (uint32_t tried = 0;; ++tried) {
        const Address &address = addresses[(plan.entry + tried) % addresses.size()];
        co_await this->attempt(address, request, flow.stream(), sample);
        if (sample.answered || tried >= flow.repeats())
            break;
        ++sample.repeats;
        asio::steady_timer timer(co_await asio::this_coro::executor, DefaultRepeatDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    sample.done = std::chrono::steady_clock::now() - this->start;
    co_return sample;
}

} // namespace tray
