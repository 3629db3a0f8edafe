// Latency histograms, the metrics registry and its page in the Prometheus exposition format.
#include "observe/Metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace tray {

namespace {

namespace bh = boost::histogram;

// 0.01 ms to 10 minutes in 120 logarithmic bins, each about 16% wide.
using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;

std::string withLabels(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

} // namespace

struct LatencyHistogram::Impl
{
    mutable std::mutex mutex;
    bh::histogram<std::tuple<LatencyAxis>> histogram =
        bh::make_histogram(LatencyAxis(120, 0.01, 600000.0));
    double sumMs = 0;
    uint64_t samples = 0;
};

LatencyHistogram::LatencyHistogram() : impl(std::make_unique<Impl>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(Duration latency)
{
    const double ms = std::chrono::duration<double, std::milli>(latency).count();
    const std::lock_guard lock(this->impl->mutex);
    this->impl->histogram(ms);
    this->impl->sumMs += ms;
    ++this->impl->samples;
}

double LatencyHistogram::quantileMs(double quantile) const
{
    const std::lock_guard lock(this->impl->mutex);
    const double targetCount = quantile * static_cast<double>(this->impl->samples);
    if (this->impl->samples == 0)
        return 0;
    double cumulativeCount = 0;
    for (auto &&bin : bh::indexed(this->impl->histogram, bh::coverage::all)) {
        cumulativeCount += *bin;
        if (cumulativeCount >= targetCount && *bin > 0)
            return bin.bin().upper();
    }
    return 600000.0;
}

uint64_t LatencyHistogram::samples() const
{
    const std::lock_guard lock(this->impl->mutex);
    return this->impl->samples;
}

Counter &Metrics::counter(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(this->mutex);
    auto &slot = this->counters[{name, labels}];
    if (!slot)
        slot = std::make_unique<Counter>();
    return *slot;
}

LatencyHistogram &Metrics::histogram(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(this->mutex);
    auto &slot = this->histograms[{name, labels}];
    if (!slot)
        slot = std::make_unique<LatencyHistogram>();
    return *slot;
}

void Metrics::gauge(const std::string &name, std::function<double()> read)
{
    const std::lock_guard lock(this->mutex);
    this->gauges[name] = std::move(read);
}

std::string Metrics::page() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[key, counter] : this->counters)
        text += fmt::format("{} {}\n", withLabels(key.first, key.second), counter->get());
    for (const auto &[name, read] : this->gauges)
        text += fmt::format("{} {}\n", name, read());
    for (const auto &[key, histogram] : this->histograms) {
        for (const double quantile : {0.5, 0.95, 0.99}) {
            const std::string label = fmt::format("quantile=\"{}\"", quantile);
            text += fmt::format(
                "{} {}\n",
                withLabels(key.first, key.second.empty() ? label : key.second + "," + label),
                histogram->quantileMs(quantile));
        }
        text += fmt::format("{} {}\n", withLabels(key.first + "_count", key.second),
                            histogram->samples());
        text += fmt::format("{} {}\n", withLabels(key.first + "_sum", key.second),
                            histogram->impl->sumMs);
    }
    return text;
}

} // namespace tray
