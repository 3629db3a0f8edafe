// Computes the duration of each step from the batch size and the prompts without cached prefix.
#include "EngineBatch.h"

#include "base/Hash.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray::fakes {

namespace asio = boost::asio;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t BlockTokens = 64;
// Number of prompt bytes that count as one token.
constexpr size_t BytesPerToken = 4;

} // namespace

std::string BatchRequest::token(uint32_t index) const
{
    if (index == 0)
        return "[" + this->echo + "] ";
    return "t" + std::to_string(index) + " ";
}

std::vector<uint64_t> prefixBlocks(const std::string &prompt)
{
    std::vector<uint64_t> blocks;
    uint64_t digest = 1;
    const size_t blockBytes = BlockTokens * BytesPerToken;
    for (size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        digest = hash64(std::string_view(prompt).substr(at, blockBytes), digest);
        blocks.push_back(digest);
    }
    return blocks;
}

EngineBatch::EngineBatch(const asio::any_io_executor &executor,
                         const proto::FakeEngineSection &settings,
                         std::function<void(uint64_t)> onKvUsage)
    : timer(executor), settings(settings), onKvUsage(std::move(onKvUsage))
{}

void EngineBatch::add(const std::shared_ptr<BatchRequest> &request)
{
    this->requests.push_back(request);
    if (this->requests.size() == 1)
        this->timer.cancel();
}

void EngineBatch::cancel(BatchRequest &request)
{
    request.cancelled = true;
    request.changed.cancel();
    this->removeEnded();
}

void EngineBatch::cancelAll()
{
    for (const auto &request : this->requests) {
        request->cancelled = true;
        request->changed.cancel();
    }
    this->removeEnded();
}

void EngineBatch::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

asio::awaitable<void> EngineBatch::run()
{
    Instant next = std::chrono::steady_clock::now();
    while (!this->stopped) {
        if (this->requests.empty()) {
            this->timer.expires_at(Instant::max());
            co_await this->timer.async_wait(Await);
            next = std::chrono::steady_clock::now();
            continue;
        }
        const auto batch = this->selectBatch();
        Duration step = std::chrono::microseconds(
            this->settings.step_us() + this->settings.step_us_per_request() * batch.size());
        for (const auto &request : batch) {
            if (!request->prefilled)
                step += this->prefill(*request);
        }
        this->updateKvUsage();
        next += step;
        this->timer.expires_at(next);
        co_await this->timer.async_wait(Await);
        this->advance(batch);
    }
}

std::vector<std::shared_ptr<BatchRequest>> EngineBatch::selectBatch()
{
    auto batch = this->requests;
    std::stable_sort(batch.begin(), batch.end(),
                     [](const auto &a, const auto &b) { return a->priority < b->priority; });
    batch.resize(std::min<size_t>(batch.size(), this->settings.slots()));
    this->runningCount = batch.size();
    return batch;
}

Duration EngineBatch::prefill(BatchRequest &request)
{
    uint32_t hits = 0;
    while (hits < request.blocks.size() && this->lruPositions.contains(request.blocks[hits]))
        ++hits;
    request.prefilled = true;
    request.cachedTokens = std::min(request.promptTokens, hits * BlockTokens);
    this->totalCachedTokens += request.cachedTokens;
    this->cachePrefix(request);
    const uint64_t uncached = request.promptTokens - request.cachedTokens;
    return std::chrono::microseconds(uncached * this->settings.prefill_us_per_1k() / 1000);
}

void EngineBatch::cachePrefix(const BatchRequest &request)
{
    for (const uint64_t block : request.blocks) {
        const auto position = this->lruPositions.find(block);
        if (position != this->lruPositions.end())
            this->lruBlocks.erase(position->second);
        this->lruBlocks.push_front(block);
        this->lruPositions[block] = this->lruBlocks.begin();
    }
    while (this->lruBlocks.size() * BlockTokens > this->settings.prefix_cache_tokens()) {
        this->lruPositions.erase(this->lruBlocks.back());
        this->lruBlocks.pop_back();
    }
}

void EngineBatch::advance(const std::vector<std::shared_ptr<BatchRequest>> &batch)
{
    for (const auto &request : batch) {
        if (request->cancelled || request->finished)
            continue;
        ++request->generatedTokens;
        request->finished = request->generatedTokens >= request->answerTokens;
        request->changed.cancel();
    }
    const Instant now = std::chrono::steady_clock::now();
    for (const auto &request : this->requests) {
        const auto grace = milliseconds(this->settings.resume_grace_ms());
        if (!request->attached && now - request->detachedAt >= grace)
            request->cancelled = true;
    }
    this->removeEnded();
}

void EngineBatch::removeEnded()
{
    std::erase_if(this->requests,
                  [](const auto &request) { return request->finished || request->cancelled; });
    this->runningCount = std::min(this->runningCount, this->requests.size());
    this->updateKvUsage();
}

void EngineBatch::updateKvUsage()
{
    uint64_t tokens = 0;
    for (const auto &request : this->requests) {
        if (request->prefilled)
            tokens += request->promptTokens + request->generatedTokens + 1;
    }
    this->onKvUsage(tokens * this->settings.kv_bytes_per_token());
}

} // namespace tray::fakes
