// Limits suspects to one run at a time. A suspect is a request that is suspected of crashing
// upstreams; it is identified by the digest of its content.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_set>

namespace tray {

/// Content digests of the suspects that are running. Safe to use from any thread.
class SuspectGate
{
public:
    /// Records that the suspect runs. Returns false if a request with the same content already
    /// runs.
    bool tryEnter(uint64_t contentDigest)
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
