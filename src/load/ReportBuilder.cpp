#include "load/ReportBuilder.h"

#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <sstream>

namespace tray {

namespace {

namespace bh = boost::histogram;

double toFractionalMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Histogram of latencies with logarithmic bins about 1% wide, so that percentiles are accurate to
/// 1%.
class LatencyDistribution
{
public:
    void add(Duration latency)
    {
        const double ms = toFractionalMs(latency);
        this->histogram(ms);
        this->maxMs = std::max(this->maxMs, ms);
        ++this->samples;
    }

    double quantile(double share) const
    {
        const double rank = share * static_cast<double>(this->samples);
        double cumulativeCount = 0;
        for (auto &&bin : bh::indexed(this->histogram, bh::coverage::all)) {
            cumulativeCount += *bin;
            if (*bin > 0 && cumulativeCount >= rank)
                return std::min(bin.bin().upper(), this->maxMs);
        }
        return this->maxMs;
    }

    void writeTo(proto::LatencySummary &summary) const
    {
        summary.set_samples(this->samples);
        if (this->samples == 0)
            return;
        summary.set_p50_ms(this->quantile(0.5));
        summary.set_p90_ms(this->quantile(0.9));
        summary.set_p95_ms(this->quantile(0.95));
        summary.set_p99_ms(this->quantile(0.99));
        summary.set_max_ms(this->maxMs);
    }

private:
    using Axis = bh::axis::regular<double, bh::axis::transform::log>;

    bh::histogram<std::tuple<Axis>> histogram = bh::make_histogram(Axis(1800, 0.01, 600000.0));
    double maxMs = 0;
    uint64_t samples = 0;
};

/// Accumulates the samples of one group of the report.
struct GroupBuilder
{
    proto::LoadGroup counts;
    LatencyDistribution latency;
    LatencyDistribution firstToken;
    LatencyDistribution refusal;

    void add(const Sample &sample, bool attained)
    {
        this->counts.set_sent(this->counts.sent() + 1);
        this->counts.set_repeats(this->counts.repeats() + sample.retries);
        if (sample.firstToken)
            this->firstToken.add(*sample.firstToken - sample.intended);
        if (sample.answered) {
            this->counts.set_answered(this->counts.answered() + 1);
            this->counts.set_attained(this->counts.attained() + (attained ? 1 : 0));
            this->latency.add(sample.done - sample.intended);
            return;
        }
        ++(*this->counts.mutable_failures())[sample.errorCode];
        ++(*this->counts.mutable_ran())[std::string(enumName(sample.ran))];
        this->refusal.add(sample.done - sample.intended);
    }

    proto::LoadGroup finish(const std::string &name)
    {
        this->counts.set_name(name);
        if (this->counts.sent() > 0)
            this->counts.set_attainment(static_cast<double>(this->counts.attained()) /
                                        static_cast<double>(this->counts.sent()));
        this->latency.writeTo(*this->counts.mutable_latency());
        this->firstToken.writeTo(*this->counts.mutable_first_token());
        this->refusal.writeTo(*this->counts.mutable_refusal_latency());
        return this->counts;
    }
};

/// Accumulates the samples of one interval of the time series.
struct IntervalBuilder
{
    GroupBuilder all;
    // Number of attained and of sent requests by tier.
    std::map<std::string, std::pair<uint64_t, uint64_t>> attainedAndSent;
};

void writeIntervals(std::map<int64_t, IntervalBuilder> &intervals, double widthSeconds,
                    proto::LoadReport &report)
{
    for (auto &[number, interval] : intervals) {
        auto &row = *report.add_intervals();
        const auto group = interval.all.finish("");
        row.set_start_s(static_cast<double>(number) * widthSeconds);
        row.set_sent(group.sent());
        row.set_answered(group.answered());
        row.set_attained(group.attained());
        row.set_p50_ms(group.latency().p50_ms());
        row.set_p99_ms(group.latency().p99_ms());
        for (const auto &[tier, counts] : interval.attainedAndSent)
            (*row.mutable_attainment_by_tier())[tier] =
                static_cast<double>(counts.first) / static_cast<double>(counts.second);
    }
}

} // namespace

bool isAttained(const Sample &sample, const proto::LoadFlowSection &flow)
{
    if (!sample.answered || sample.done - sample.intended > milliseconds(flow.expectation_ms()))
        return false;
    if (!flow.stream() || flow.first_token_ms() == 0)
        return true;
    return sample.firstToken &&
           *sample.firstToken - sample.intended <= milliseconds(flow.first_token_ms());
}

proto::LoadReport buildReport(const Scenario &scenario, const std::vector<Sample> &samples,
                              const CounterValues &initialCounters,
                              const CounterValues &finalCounters)
{
    GroupBuilder total;
    LatencyDistribution sendLag;
    std::map<std::string, GroupBuilder> tiers;
    std::map<std::string, GroupBuilder> flows;
    std::map<int64_t, IntervalBuilder> intervals;
    proto::LoadReport report;
    const Duration width = milliseconds(scenario.load.interval_ms());
    const auto warmUp = std::chrono::duration<double>(scenario.load.warm_up_s());
    for (const auto &sample : samples) {
        const auto &flow = scenario.flows.at(sample.flow).flow();
        const auto &tier =
            scenario.clientAccounts.at(flow.client_account()).client_account().tier();
        const bool attained = isAttained(sample, flow);
        auto &interval = intervals[sample.intended / width];
        interval.all.add(sample, attained);
        auto &counts = interval.attainedAndSent[tier];
        counts.first += attained ? 1 : 0;
        ++counts.second;
        if (sample.intended < warmUp)
            continue;
        total.add(sample, attained);
        tiers[tier].add(sample, attained);
        flows[sample.flow].add(sample, attained);
        sendLag.add(sample.sent - sample.intended);
        if (!sample.upstream.empty())
            ++(*report.mutable_upstreams())[sample.upstream];
    }
    report.set_name(scenario.load.name());
    report.set_seed(scenario.load.seed());
    report.set_duration_s(scenario.load.duration_s());
    report.set_accelerators(scenario.load.accelerators());
    *report.mutable_total() = total.finish("total");
    for (auto &[name, group] : tiers)
        *report.add_tiers() = group.finish(name);
    for (auto &[name, group] : flows)
        *report.add_flows() = group.finish(name);
    report.set_attained_per_accelerator(static_cast<double>(report.total().attained()) /
                                        scenario.load.accelerators());
    report.set_send_lag_p99_ms(samples.empty() ? 0 : sendLag.quantile(0.99));
    for (const auto &[name, count] : finalCounters) {
        const auto initial = initialCounters.find(name);
        (*report.mutable_counters())[name] =
            count - (initial == initialCounters.end() ? 0 : initial->second);
    }
    writeIntervals(intervals, std::chrono::duration<double>(width).count(), report);
    return report;
}

double sumMetric(const std::string &page, const std::string &metric)
{
    double sum = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.compare(0, metric.size(), metric) != 0 || line.size() == metric.size())
            continue;
        const char next = line[metric.size()];
        const auto space = line.rfind(' ');
        if ((next != ' ' && next != '{') || space == std::string::npos)
            continue;
        double number = 0;
        std::from_chars(line.data() + space + 1, line.data() + line.size(), number);
        sum += number;
    }
    return sum;
}

} // namespace tray
