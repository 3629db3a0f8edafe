// Requests in flight, so that a stop can end them.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace tray {

/// Set of open exchanges. Safe to use from any thread.
class OpenExchanges
{
    struct State;

public:
    using End = std::function<void()>;

    /// Membership of one exchange, which lives and dies on its executor.
    class Entry
    {
    public:
        Entry(const OpenExchanges &all, boost::asio::any_io_executor executor, End end)
            : state(all.state), executor(std::move(executor)),
              end(std::make_shared<End>(std::move(end)))
        {
            const std::lock_guard lock(this->state->mutex);
            this->state->entries.insert(this);
        }
        ~Entry()
        {
            const std::lock_guard lock(this->state->mutex);
            this->state->entries.erase(this);
        }
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

    private:
        friend OpenExchanges;

        // A coroutine that is left with its context ends after the server.
        const std::shared_ptr<State> state;
        const boost::asio::any_io_executor executor;
        const std::shared_ptr<End> end;
    };

    /// Calls each exchange's end on its executor.
    void endAll()
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->ended = true;
        for (const auto *entry : this->state->entries) {
            boost::asio::post(entry->executor, [weak = std::weak_ptr<End>(entry->end)] {
                if (const auto end = weak.lock())
                    (*end)();
            });
        }
    }
    /// endAll() was called; it knew nothing of exchanges that are opened from now on.
    bool isEnded() const
    {
        const std::lock_guard lock(this->state->mutex);
        return this->state->ended;
    }

private:
    struct State
    {
        std::mutex mutex;
        std::set<const Entry *> entries;
        bool ended = false;
    };

    const std::shared_ptr<State> state = std::make_shared<State>();
};

} // namespace tray
