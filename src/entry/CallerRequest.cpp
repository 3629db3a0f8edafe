// Checks the credential, resolves the target in the catalogue and filters the forwarded headers.
#include "entry/CallerRequest.h"

#include "base/Hash.h"

#include <algorithm>
#include <array>

namespace tray {

namespace {

constexpr std::string_view ServicePrefix = "/services/";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view TextPath = "/v1/completions";
/// Size limit of idempotency keys in bytes. Longer ones are rejected so that claims stay small.
constexpr size_t MaxKeyBytes = 256;

Result<Unit> readModelTarget(CallerRequest &request, bool isChat, std::string &parameter)
{
    if (request.http.method != "POST")
        return Error{ErrorKind::BadRequest, "completions are called with POST"};
    auto parsed = parseModelCall(request.http.body, isChat, {}, &parameter);
    if (!isOk(parsed))
        return error(parsed);
    request.call = std::move(value(parsed));
    const auto &catalogue = *request.catalogue;
    request.model = catalogue.findModel(request.call.model);
    parameter = "model";
    if (request.model == nullptr)
        return Error{ErrorKind::UnknownModel, "there is no model " + request.call.model};
    if (!request.call.adapter.empty()) {
        const auto *adapter = catalogue.findAdapter(request.call.adapter);
        if (adapter == nullptr || adapter->base_model() != request.call.model)
            return Error{ErrorKind::UnknownModel, "there is no adapter " + request.call.adapter +
                                                      " of model " + request.call.model};
    }
    const uint64_t context = request.model->max_context_tokens();
    if (context > 0 && uint64_t{request.call.promptTokens} > context)
        return Error{ErrorKind::BadRequest, "the prompt is longer than the model's context of " +
                                                std::to_string(context) + " tokens"};
    request.pool = request.model->pool();
    request.idempotent = !request.model->non_idempotent();
    return Unit{};
}

Result<Unit> readServiceTarget(CallerRequest &request)
{
    auto name = pathOf(request.http.target).substr(ServicePrefix.size());
    name = name.substr(0, name.find('/'));
    const auto *service = request.catalogue->findService(name);
    if (service == nullptr)
        return Error{ErrorKind::NotFound, "there is no service " + std::string(name)};
    request.service = name;
    request.pool = service->pool();
    const auto &methods = service->non_idempotent_methods();
    request.idempotent =
        std::find(methods.begin(), methods.end(), request.http.method) == methods.end();
    return Unit{};
}

Result<Unit> readTarget(CallerRequest &request, std::string &parameter)
{
    const auto path = pathOf(request.http.target);
    if (path == ChatPath || path == TextPath)
        return readModelTarget(request, path == ChatPath, parameter);
    if (path.starts_with(ServicePrefix))
        return readServiceTarget(request);
    return Error{ErrorKind::NotFound, "there is no such path"};
}

Result<Unit> readClientAccount(CallerRequest &request)
{
    auto clientAccount = authenticate(request.http, *request.catalogue);
    if (!isOk(clientAccount))
        return error(clientAccount);
    request.clientAccount = std::move(value(clientAccount));
    const auto *entry = request.catalogue->findClientAccount(request.clientAccount);
    if (entry == nullptr)
        return Error{ErrorKind::Unauthorized, "the credential belongs to no client account"};
    request.tierName = entry->tier();
    request.preferredRegion = entry->home_region();
    request.tier = request.catalogue->findTier(request.tierName);
    if (request.tier == nullptr)
        return Error{ErrorKind::Forbidden, "the client account has no tier in force"};
    return Unit{};
}

void setDigests(CallerRequest &request)
{
    const auto &target = request.service.empty() ? request.call.model : request.service;
    const uint64_t clientAccountDigest = hash64(request.clientAccount);
    request.contentDigest = hash64(request.http.body, hash64(target, clientAccountDigest));
    request.claimDigest =
        hash64(request.http.body,
               hash64(request.http.target, hash64(request.http.method, clientAccountDigest)));
}

} // namespace

Result<std::string> authenticate(const HttpRequest &request, const Catalogue &catalogue)
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto header = findHeader(request.headers, "Authorization");
    if (header.size() <= Scheme.size() ||
        !equalsIgnoringCase(header.substr(0, Scheme.size()), Scheme))
        return Error{ErrorKind::Unauthorized, "a bearer credential is required"};
    const auto clientAccount =
        catalogue.clientAccountOfCredential(sha256Hex(header.substr(Scheme.size())));
    if (clientAccount.empty())
        return Error{ErrorKind::Unauthorized, "the credential is not known"};
    return std::string(clientAccount);
}

Result<CallerRequest> readCallerRequest(HttpRequest http,
                                        std::shared_ptr<const Catalogue> catalogue, Instant now,
                                        std::string &parameter)
{
    CallerRequest request;
    request.catalogue = std::move(catalogue);
    request.http = std::move(http);
    if (const auto read = readClientAccount(request); !isOk(read))
        return error(read);
    if (const auto read = readTarget(request, parameter); !isOk(read))
        return error(read);
    parameter.clear();
    request.idempotencyKey = findHeader(request.http.headers, "Idempotency-Key");
    if (request.idempotencyKey.size() > MaxKeyBytes)
        return Error{ErrorKind::BadRequest,
                     "Idempotency-Key is longer than " + std::to_string(MaxKeyBytes) + " bytes"};
    if (!request.idempotencyKey.empty())
        request.idempotent = false;
    setDigests(request);
    request.arrivedAt = now;
    request.deadline = now + milliseconds(request.tier->deadline_ms());
    return request;
}

HttpHeaders forwardedHeaders(const HttpHeaders &headers)
{
    static constexpr auto Dropped = std::to_array<std::string_view>(
        {"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection",
         "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host"});
    HttpHeaders kept;
    kept.reserve(headers.size());
    for (const auto &header : headers) {
        const bool isDropped = std::any_of(Dropped.begin(), Dropped.end(), [&](auto name) {
            return equalsIgnoringCase(header.first, name);
        });
        if (!isDropped)
            kept.push_back(header);
    }
    return kept;
}

} // namespace tray
