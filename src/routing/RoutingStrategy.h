// Interface of the routing strategies, which choose one of the candidate upstreams for a request.
#pragma once

#include "routing/UpstreamView.h"

#include "control.pb.h"

#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// Location of an upstream relative to this entry instance.
enum class Distance : uint8_t { SameDataCentre, SameRegion, OtherRegion };

/// An upstream that could serve a request.
struct Candidate
{
    std::shared_ptr<UpstreamView> view;
    /// Points into the snapshot that the router's index keeps alive.
    const proto::UpstreamStatus *status = nullptr;
    Distance distance = Distance::SameDataCentre;
    /// Version of the model that the upstream holds.
    std::string_view version;
};

/// Properties of a request that the choice depends on.
struct RouteQuery
{
    uint32_t tierRank = 0;
    /// Time left until the tier's deadline.
    Duration remaining{};
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    /// Digests of the prompt's prefixes, shortest first, and the number of tokens in each prefix.
    std::span<const uint64_t> prefixDigests;
    std::span<const uint32_t> prefixTokens;
    /// Bytes of the request and the expected answer, for the cost of the link between regions.
    uint64_t bytes = 0;
    /// Region to prefer; empty for the region of the entry instance.
    std::string_view preferredRegion;
};

using CandidateRefs = std::vector<const Candidate *>;

/// Chooses upstreams. Thread-safe.
class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;

    /// Chooses one of the candidates, which must not be empty.
    virtual const Candidate *choose(const CandidateRefs &candidates, const RouteQuery &query,
                                    Instant now, std::mt19937_64 &random) const = 0;
    virtual std::string_view name() const = 0;
};

/// Creates the strategy with this name in the settings; null if the name is not known.
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name);

} // namespace tray
