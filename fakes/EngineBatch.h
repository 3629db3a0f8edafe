// Continuous batching of the engine stand-in: each step decodes one token for every running
// request.
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

/// One request in the batch. Its tokens are determined by the prompt, so that a stream can be
/// replayed and a caller can recognize its own response.
struct BatchRequest
{
    explicit BatchRequest(const boost::asio::any_io_executor &executor) : changed(executor) {}

    std::string id;
    std::string model;
    /// Beginning of the prompt, which the first token of the response repeats.
    std::string echo;
    /// Requests with a lower number run first.
    int priority = 0;
    uint32_t promptTokens = 0;
    uint32_t answerTokens = 0;
    /// The response ends because it reaches the token limit of the request.
    bool endsAtTokenLimit = false;
    /// Digests of the prompt's prefixes, see prefixBlocks().
    std::vector<uint64_t> blocks;
    uint32_t cachedTokens = 0;
    uint32_t generatedTokens = 0;
    bool prefilled = false;
    bool finished = false;
    bool cancelled = false;
    /// A connection reads the stream.
    bool attached = true;
    /// Time since which no connection reads the stream; valid while attached is false.
    Instant detachedAt;
    /// Cancelled whenever the request changes, to wake its readers up.
    boost::asio::steady_timer changed;

    /// Text of the token with the given index, starting at 0.
    std::string token(uint32_t index) const;
};

/// Simulates the engine's batch: running requests, prefix cache and KV cache. Not thread-safe.
class EngineBatch
{
public:
    EngineBatch(const boost::asio::any_io_executor &executor,
                const proto::FakeEngineSection &settings,
                std::function<void(uint64_t kvBytes)> onKvUsage);

    /// Runs the steps until stop().
    boost::asio::awaitable<void> run();
    void stop();
    void add(const std::shared_ptr<BatchRequest> &request);
    void cancel(BatchRequest &request);
    void cancelAll();

    size_t running() const { return this->runningCount; }
    size_t waiting() const { return this->requests.size() - this->runningCount; }
    uint64_t cachedTokens() const { return this->totalCachedTokens; }

private:
    /// Requests of the next step by priority, then by arrival, at most one per slot.
    std::vector<std::shared_ptr<BatchRequest>> selectBatch();
    /// Prefills the prompt and returns the time that this adds to the step.
    Duration prefill(BatchRequest &request);
    /// Ends a step: adds a token to each request and cancels the streams that have had no reader
    /// for at least the grace period.
    void advance(const std::vector<std::shared_ptr<BatchRequest>> &batch);
    void removeEnded();
    void updateKvUsage();
    /// Adds the blocks of a prompt to the prefix cache and evicts the least recently used ones.
    void cachePrefix(const BatchRequest &request);

    boost::asio::steady_timer timer;
    const proto::FakeEngineSection settings;
    std::function<void(uint64_t)> onKvUsage;
    // Requests that are neither finished nor cancelled, in order of arrival.
    std::vector<std::shared_ptr<BatchRequest>> requests;
    size_t runningCount = 0;
    bool stopped = false;
    uint64_t totalCachedTokens = 0;
    // Cached prefix blocks, most recently used first, and the position of each in that list.
    std::list<uint64_t> lruBlocks;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> lruPositions;
};

/// Digests of a prompt's prefixes, one for each complete block of 64 tokens.
std::vector<uint64_t> prefixBlocks(const std::string &prompt);

} // namespace tray::fakes
