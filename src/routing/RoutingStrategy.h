// Interface of the strategies that choose an upstream for a request.
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

/// How far an upstream is from this entry instance.
enum class Distance : uint8_t { SameDataCentre, SameRegion, OtherRegion };

/// An upstream that could serve a request.
struct Candidate
{
    std::shared_ptr<UpstreamView> view;
    /// Points into the snapshot that the route index holds.
    const proto::UpstreamStatus *status = nullptr;
    Distance distance = Distance::SameDataCentre;
    /// Version of the model that the upstream holds.
    std::string_view version;
};

/// What a strategy needs to know about a request.
struct RouteQuery
{
    uint32_t tierRank = 0;
    /// Time left until the tier's deadline.
    Duration remaining{};
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    /// Digests of prompt prefixes, shortest first, and the tokens that each covers.
    std::span<const uint64_t> prefixDigests;
    std::span<const uint32_t> prefixTokens;
    /// Bytes of request and expected answer, priced on the region link.
    uint64_t bytes = 0;
    /// Region to prefer; empty for that of the entry instance.
    std::string_view homeRegion;
};

using CandidateRefs = std::vector<const Candidate *>;

/// Strategy object. Safe to use from any thread.
class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;

    /// Chooses one of the candidates, of which there is at least one.
    virtual const Candidate *choose(const CandidateRefs &candidates, const RouteQuery &query,
                                    Instant now, std::mt19937_64 &random) const = 0;
    virtual std::string_view name() const = 0;
};

/// Strategy of a name in the settings; null for a name that is not known.
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name);

} // namespace tray
