// A caller's request after authentication and parsing, with everything that routing needs.
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

/// A request that may be routed. Pointers and views point into the catalogue snapshot.
struct CallerRequest
{
    std::shared_ptr<const Catalogue> catalogue;
    HttpRequest http;
    std::string clientAccount;
    std::string tierName;
    const proto::Tier *tier = nullptr;
    std::string_view homeRegion;
    /// Null for a service.
    const proto::Model *model = nullptr;
    /// Empty for a model.
    std::string service;
    std::string pool;
    /// Set for models; prompt and tokens stay zero for services.
    ModelCall call;
    bool idempotent = true;
    std::string idempotencyKey;
    uint64_t contentDigest = 0;
    /// Digest of everything that a repeat with the same idempotency key must repeat.
    uint64_t claimDigest = 0;
    Instant arrived{};
    Instant deadline{};
};

/// Client account that a request's bearer credential belongs to. Fails with Unauthorized.
Result<std::string> authenticate(const HttpRequest &request, const Catalogue &catalogue);

/// Authenticates and parses a request to a model or a service. Fails with Unauthorized, Forbidden,
/// BadRequest, UnknownModel or NotFound; parameter then names the field, if there is one.
Result<CallerRequest> readCallerRequest(HttpRequest request,
                                        std::shared_ptr<const Catalogue> catalogue, Instant now,
                                        std::string &parameter);

/// Headers that an upstream gets: all but the credential and those of the connection itself.
HttpHeaders forwardedHeaders(const HttpHeaders &headers);

} // namespace tray
