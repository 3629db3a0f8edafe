// Bounds the memory that a process holds for the bodies of messages, over all of them together, so
// that many large or endless bodies do not use up the memory of other requests.
#pragma once

#include <cstddef>

namespace tray {

/// Bytes that the bodies of one process may hold. Not thread-safe.
class MemoryBudget
{
public:
    /// Part of the budget that one body holds; returned when it is destroyed or released.
    class Share
    {
    public:
        Share() = default;
        explicit Share(MemoryBudget &budget) : budget(&budget) {}
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        ~Share() { this->release(); }

        /// Adds bytes if the budget has them. Half of it is kept for small bodies, which go on
        /// beside large ones.
        bool tryGrow(size_t bytes);
        void release();

    private:
        MemoryBudget *budget = nullptr;
        size_t held = 0;
    };

    /// Most bytes of a body that may use the part for small bodies.
    static constexpr size_t SmallBodyBytes = 64u << 10;

    explicit MemoryBudget(size_t limitBytes) : limit(limitBytes) {}

    /// Bytes that all bodies hold; not above the limit.
    size_t usedBytes() const { return this->used; }

private:
    const size_t limit;
    size_t used = 0;
};

} // namespace tray
