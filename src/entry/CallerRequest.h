// Authenticates and parses a caller's request, and collects what routing needs to know about it.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "catalogue/Catalogue.h"
#include "entry/ModelCall.h"
#include "net/HttpMessage.h"
#include "routing/RoutingStrategy.h"

#include <memory>
#include <string>

namespace tray {

/// An authenticated request that can be routed. Its pointers and views refer to the catalogue
/// snapshot.
struct CallerRequest
{
    std::shared_ptr<const Catalogue> catalogue;
    HttpRequest http;
    std::string clientAccount;
    std::string tierName;
    const proto::Tier *tier = nullptr;
    std::string_view preferredRegion;
    /// Null for a service.
    const proto::Model *model = nullptr;
    /// Empty for a model.
    std::string service;
    std::string pool;
    /// Set for models only; the token counts stay zero for services.
    ModelCall call;
    bool idempotent = true;
    std::string idempotencyKey;
    uint64_t contentDigest = 0;
    /// Digest of everything that must be equal in two requests with the same idempotency key.
    uint64_t claimDigest = 0;
    Instant arrivedAt{};
    Instant deadline{};
};

/// Returns the client account that the request's bearer credential belongs to. Fails with
/// Unauthorized.
Result<std::string> authenticate(const HttpRequest &request, const Catalogue &catalogue);

/// Authenticates and parses a request to a model or a service. Fails with Unauthorized, Forbidden,
/// BadRequest, UnknownModel or NotFound; parameter is then set to the name of the field that caused
/// the error, if there is one.
Result<CallerRequest> readCallerRequest(HttpRequest request,
                                        std::shared_ptr<const Catalogue> catalogue, Instant now,
                                        std::string &parameter);

/// Returns the headers that are forwarded: all except the credential and those that apply to the
/// connection only.
HttpHeaders forwardedHeaders(const HttpHeaders &headers);

} // namespace tray
