// Counters, gauges and latency histograms, and the text page that exports them.
#pragma once

#include "base/Time.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tray {

/// Monotonic counter. Safe to use from any thread.
class Counter
{
public:
    void add(uint64_t amount = 1) { this->count.fetch_add(amount, std::memory_order_relaxed); }
    uint64_t get() const { return this->count.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> count{0};
};

/// Latency distribution in ms over a Boost.Histogram with logarithmic bins. Safe to use from any
/// thread.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();

    /// Adds one sample.
    void add(Duration latency);
    /// Returns the upper edge, in ms, of the bin that contains the given quantile (0 to 1); 0
    /// without samples.
    double quantileMs(double quantile) const;
    uint64_t samples() const;

private:
    friend class Metrics;
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Registry of all metrics of a process, by name. Returned references stay valid for the lifetime
/// of the registry.
class Metrics
{
public:
    /// Returns the counter with this name and these labels, created on first use. Labels are
    /// written as `key="value"`.
    Counter &counter(const std::string &name, const std::string &labels = "");
    /// Returns the histogram with this name and these labels, created on first use.
    LatencyHistogram &histogram(const std::string &name, const std::string &labels = "");
    /// Registers a function that returns the value of a gauge. It is called whenever the page is
    /// generated.
    void gauge(const std::string &name, std::function<double()> read);
    /// Returns the metrics as text in the Prometheus exposition format.
    std::string page() const;

private:
    using Key = std::pair<std::string, std::string>;

    mutable std::mutex mutex;
    std::map<Key, std::unique_ptr<Counter>> counters;
    std::map<Key, std::unique_ptr<LatencyHistogram>> histograms;
    std::map<std::string, std::function<double()>> gauges;
};

} // namespace tray
