// Continuous batching of the engine stand-in: each step decodes one token of every running request.
#pragma once

#include "base/Time.h"
#include "settings_fake_engine.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tray::fakes {

/// One request in the batch. Its tokens are a function of the prompt, so that a stream can be
/// replayed and a caller can tell its own answer.
struct BatchRequest
{
    explicit BatchRequest(const boost::asio::any_io_executor &executor) : changed(executor) {}

    std::string id;
    std::string model;
    std::string echo;
    int priority = 0;
    uint32_t promptTokens = 0;
    uint32_t answerTokens = 0;
    bool endsByLength = false;
    std::vector<uint64_t> blocks;
    uint32_t cachedTokens = 0;
    uint32_t generated = 0;
    bool prefilled = false;
    bool finished = false;
    bool cancelled = false;
    /// A stream has a connection that reads it.
    bool attached = true;
    Instant detachedAt;
    /// Cancelled whenever the request changes, to wake its readers.
    boost::asio::steady_timer changed;

    std::string token(uint32_t index) const;
};

/// Runs on one thread.
class EngineBatch
{
public:
    EngineBatch(const boost::asio::any_io_executor &executor,
                const proto::FakeEngineSection &settings,
                std::function<void(uint64_t kvBytes)> onKv);

    /// Loop of steps; runs until stop().
    boost::asio::awaitable<void> run();
    void stop();
    void add(const std::shared_ptr<BatchRequest> &request);
    void cancel(BatchRequest &request);
    void cancelAll();

    size_t running() const { return this->runningCount; }
    size_t waiting() const { return this->requests.size() - this->runningCount; }
    uint64_t cachedTokens() const { return this->cachedTotal; }

private:
    std::vector<std::shared_ptr<BatchRequest>> selectBatch();
    Duration prefill(BatchRequest &request);
    void advance(const std::vector<std::shared_ptr<BatchRequest>> &batch);
    void removeEnded();
    void updateKv();
    void cache(const BatchRequest &request);

    boost::asio::steady_timer timer;
    const proto::FakeEngineSection settings;
    std::function<void(uint64_t)> onKv;
    // Requests that have not ended, in order of arrival.
    std::vector<std::shared_ptr<BatchRequest>> requests;
    size_t runningCount = 0;
    bool stopped = false;
    uint64_t cachedTotal = 0;
    // Prefix blocks, most recently used first, and where each stands.
    std::list<uint64_t> cacheOrder;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cachePlaces;
};

/// Digests of a prompt's prefixes, one for each block of 64 tokens.
std::vector<uint64_t> prefixBlocks(const std::string &prompt);

} // namespace tray::fakes
