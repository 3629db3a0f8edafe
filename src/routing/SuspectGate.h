// Limits suspects to one run at a time. A suspect is a request that is suspected of crashing
// upstreams; it is identified by the digest of its content.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>

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

    /// Leaves the gate when it is destroyed.
    class Pass
    {
    public:
        Pass(SuspectGate &gate, uint64_t contentDigest) : gate(&gate), contentDigest(contentDigest)
        {}
        Pass(Pass &&other) noexcept
            : gate(std::exchange(other.gate, nullptr)), contentDigest(other.contentDigest)
        {}
        Pass &operator=(Pass &&other) noexcept
        {
            std::swap(this->gate, other.gate);
            std::swap(this->contentDigest, other.contentDigest);
            return *this;
        }
        ~Pass()
        {
            if (this->gate != nullptr)
                this->gate->leave(this->contentDigest);
        }

    private:
        SuspectGate *gate;
        uint64_t contentDigest;
    };

    /// As tryEnter(), until the pass is destroyed.
    std::optional<Pass> tryPass(uint64_t contentDigest)
    {
        if (!this->tryEnter(contentDigest))
            return std::nullopt;
        return std::optional<Pass>(std::in_place, *this, contentDigest);
    }

private:
    std::mutex mutex;
    std::unordered_set<uint64_t> running;
};

} // namespace tray
