// Object API in memory whose calls are interleaved and fail according to a list of choices.
#pragma once

#include "PlatformStore.h"
#include "edge/ObjectApi.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

namespace tray::test {

/// Store that several callers on one thread share. Each call consumes the next choice: how
/// many other steps run before it, and whether the call fails before or after it takes effect.
class MemoryObjectApi : public ObjectApi
{
public:
    using Choice = std::tuple<int, int>;
    /// Faults in the second element of a choice; a call with any other value succeeds.
    enum Fault { Outage = 1, LostAfterEffect = 2, LostBeforeEffect = 3 };

    explicit MemoryObjectApi(std::vector<Choice> choices) : choices(std::move(choices)) {}

    boost::asio::awaitable<Result<ObjectValue>> read(std::string key) override
    {
        const int fault = co_await this->step();
        if (fault == Outage)
            co_return Error{ErrorKind::PlatformUnavailable, "outage"};
        const auto *found = this->store.find(key);
        if (found == nullptr)
            co_return Error{ErrorKind::NotFound, key};
        ObjectValue copy;
        copy.value = found->value;
        copy.version = found->version;
        co_return copy;
    }

    boost::asio::awaitable<Result<uint64_t>> write(std::string key, std::string value,
                                                   uint64_t expectedVersion) override
    {
        const int fault = co_await this->step();
        if (fault == Outage)
            co_return Error{ErrorKind::PlatformUnavailable, "outage"};
        if (fault == LostBeforeEffect)
            co_return Error{ErrorKind::OutcomeUnknown, "lost request"};
        const auto written = this->store.write(key, std::move(value), expectedVersion);
        // A second step lets other callers observe the effect before the writer receives the
        // answer.
        co_await boost::asio::post(co_await boost::asio::this_coro::executor,
                                   boost::asio::use_awaitable);
        if (fault == LostAfterEffect)
            co_return Error{ErrorKind::OutcomeUnknown, "lost answer"};
        if (!written)
            co_return Error{ErrorKind::VersionConflict, key};
        co_return *written;
    }

    boost::asio::awaitable<Result<Unit>> remove(std::string, uint64_t) override
    {
        co_return Error{ErrorKind::BadRequest, "not used"};
    }
    boost::asio::awaitable<Result<ObjectChanges>> list(std::string) override
    {
        co_return Error{ErrorKind::BadRequest, "not used"};
    }
    boost::asio::awaitable<Result<ObjectChanges>> watch(std::string, uint64_t, Duration) override
    {
        co_return Error{ErrorKind::BadRequest, "not used"};
    }

    PlatformStore store;

private:
    boost::asio::awaitable<int> step()
    {
        const auto executor = co_await boost::asio::this_coro::executor;
        int delay = 0;
        int fault = 0;
        // Calls after the last choice succeed, so that every submission ends.
        if (this->nextChoice < this->choices.size())
            std::tie(delay, fault) = this->choices[this->nextChoice++];
        for (int i = 0; i <= delay; ++i)
            co_await boost::asio::post(executor, boost::asio::use_awaitable);
        co_return fault;
    }

    std::vector<Choice> choices;
    size_t nextChoice = 0;
};

} // namespace tray::test
