// Lets requests that are suspected of crashing upstreams run one at a time.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_set>

namespace tray {

/// Content digests of suspects that run now. Safe to use from any thread.
class SuspectGate
{
public:
    /// False if a request with the same content runs already.
    bool enter(uint64_t contentDigest)
    {
        const std::lock_guard lock(this->mutex);
        return this->running.insert(contentDigest).second;
    }
    void leave(uint64_t contentDigest)
    {
        const std::lock_guard lock(this->mutex);
        this->running.erase(contentDigest);
    }

private:
    std::mutex mutex;
    std::unordered_set<uint64_t> running;
};

} // namespace tray
