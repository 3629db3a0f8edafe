// Registry of the requests in flight, through which a shutdown ends them.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace tray {

/// Registry of open exchanges. Safe to use from any thread.
class OpenExchanges
{
    struct State;

public:
    using EndCallback = std::function<void()>;

    /// Registers one exchange for as long as it exists. It is created and destroyed on the
    /// exchange's executor.
    class Registration
    {
    public:
        Registration(const OpenExchanges &all, boost::asio::any_io_executor executor,
                     EndCallback endCallback)
            : state(all.state), executor(std::move(executor)),
              endCallback(std::make_shared<EndCallback>(std::move(endCallback)))
        {
            const std::lock_guard lock(this->state->mutex);
            this->state->registrations.insert(this);
        }
        ~Registration()
        {
            const std::lock_guard lock(this->state->mutex);
            this->state->registrations.erase(this);
        }
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        friend OpenExchanges;

        // Shared, because a coroutine that is destroyed with its context outlives the server.
        const std::shared_ptr<State> state;
        const boost::asio::any_io_executor executor;
        const std::shared_ptr<EndCallback> endCallback;
    };

    /// Calls the end callback of each registered exchange on the exchange's executor.
    void endAll()
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->ended = true;
        for (const auto *registration : this->state->registrations) {
            boost::asio::post(registration->executor,
                              [weak = std::weak_ptr<EndCallback>(registration->endCallback)] {
                                  if (const auto endCallback = weak.lock())
                                      (*endCallback)();
                              });
        }
    }
    /// Returns whether endAll() was called. Exchanges that register later get no callback and must
    /// check this.
    bool isEnded() const
    {
        const std::lock_guard lock(this->state->mutex);
        return this->state->ended;
    }

private:
    struct State
    {
        std::mutex mutex;
        std::set<const Registration *> registrations;
        bool ended = false;
    };

    const std::shared_ptr<State> state = std::make_shared<State>();
};

} // namespace tray
