// Bounded set of digests.
#pragma once

#include <cstdint>
#include <unordered_set>
#include <utility>

namespace tray {

/// Remembers at least the last Capacity digests that were inserted, and at most twice as many.
template <size_t Capacity>
class RecentDigests
{
public:
    void insert(uint64_t digest)
    {
        if (this->newer.contains(digest))
            return;
        if (this->newer.size() >= Capacity)
            this->older = std::exchange(this->newer, {});
        this->newer.insert(digest);
    }
    bool contains(uint64_t digest) const
    {
        return this->newer.contains(digest) || this->older.contains(digest);
    }

private:
    std::unordered_set<uint64_t> newer;
    std::unordered_set<uint64_t> older;
};

} // namespace tray
