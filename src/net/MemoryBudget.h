// Bounds the memory that a process holds for the bodies of messages, over all of them together, so
// that many large or endless bodies do not use up the memory of other requests.
#pragma once

#include <cstddef>
#include <memory>

namespace tray {

/// Bytes that the bodies of one process may hold. Not thread-safe.
class MemoryBudget
{
    struct Account
    {
        const size_t limit;
        size_t used = 0;
    };

public:
    /// Part of the budget that one body holds; returned when it is destroyed or released. May
    /// outlive the budget, as a request may outlive its gateway.
    class Share
    {
    public:
        Share() = default;
        explicit Share(MemoryBudget &budget) : account(budget.account) {}
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        ~Share() { this->release(); }

        /// Adds bytes if the budget has them. Half of it is kept for small bodies, which go on
        /// beside large ones.
        bool tryGrow(size_t bytes);
        void release();

    private:
        std::shared_ptr<Account> account;
        size_t held = 0;
    };

    /// Most bytes of a body that may use the part for small bodies.
    static constexpr size_t SmallBodyBytes = 64u << 10;

    explicit MemoryBudget(size_t limitBytes)
        : account(std::make_shared<Account>(Account{limitBytes}))
    {}

    /// Bytes that all bodies hold; not above the limit.
    size_t usedBytes() const { return this->account->used; }

private:
    const std::shared_ptr<Account> account;
};

} // namespace tray
