// Implements the bounded table of stream origins.
#include "fleet/StreamOrigins.h"

#include "base/Hash.h"

namespace tray {

uint64_t streamDigest(std::string_view requestId)
{
    return hash64(requestId);
}

void StreamOrigins::record(uint64_t stream, StreamOrigin origin, Instant now)
{
    if (now >= origin.expiresAt)
        return;
    const bool isNew = this->origins.insert_or_assign(stream, std::move(origin)).second;
    if (isNew)
        this->order.push_back(stream);
    this->evict(now);
}

void StreamOrigins::evict(Instant now)
{
    while (!this->order.empty()) {
        const auto oldest = this->origins.find(this->order.front());
        if (this->order.size() <= MaxOrigins && now < oldest->second.expiresAt)
            return;
        this->origins.erase(oldest);
        this->order.pop_front();
    }
}

std::optional<StreamOrigin> StreamOrigins::find(uint64_t stream, Instant now) const
{
    const auto found = this->origins.find(stream);
    if (found == this->origins.end() || now >= found->second.expiresAt)
        return std::nullopt;
    return found->second;
}

} // namespace tray
