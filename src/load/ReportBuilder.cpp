// Counts and distributions of a load report.
#include "load/ReportBuilder.h"

#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <sstream>

namespace tray {

namespace {

namespace bh = boost::histogram;

double toMsExact(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Latencies in logarithmic bins of about 1%, so that a percentile is exact to 1%.
class Latencies
{
public:
    void add(Duration latency)
    {
        const double ms = toMsExact(latency);
        this->histogram(ms);
        this->highest = std::max(this->highest, ms);
        ++this->samples;
    }

    double quantile(double share) const
    {
        const double wanted = share * static_cast<double>(this->samples);
        double seen = 0;
        for (auto &&bin : bh::indexed(this->histogram, bh::coverage::all)) {
            seen += *bin;
            if (*bin > 0 && seen >= wanted)
                return std::min(bin.bin().upper(), this->highest);
        }
        return this->highest;
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
        summary.set_max_ms(this->highest);
    }

private:
    using Axis = bh::axis::regular<double, bh::axis::transform::log>;

    bh::histogram<std::tuple<Axis>> histogram = bh::make_histogram(Axis(1800, 0.01, 600000.0));
    double highest = 0;
    uint64_t samples = 0;
};

/// Group of a report while it is filled.
struct Group
{
    proto::LoadGroup counts;
    Latencies latency;
    Latencies firstToken;
    Latencies refusal;

    void add(const Sample &sample, bool attained)
    {
        this->counts.set_sent(this->counts.sent() + 1);
        this->counts.set_repeats(this->counts.repeats() + sample.repeats);
        if (sample.firstToken)
            this->firstToken.add(*sample.firstToken - sample.intended);
        if (sample.answered) {
            this->counts.set_answered(this->counts.answered() + 1);
            this->counts.set_attained(this->counts.attained() + (attained ? 1 : 0));
            this->latency.add(sample.done - sample.intended);
            return;
        }
        ++(*this->counts.mutable_failures())[sample.failure];
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

/// Interval of the time series while it is filled.
struct Interval
{
    Group all;
    std::map<std::string, std::pair<uint64_t, uint64_t>> attainedOfSent;
};

void writeIntervals(std::map<int64_t, Interval> &intervals, double widthSeconds,
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
        for (const auto &[tier, counts] : interval.attainedOfSent)
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
                              const CounterValues &before, const CounterValues &after)
{
    Group total;
    Latencies lag;
    std::map<std::string, Group> tiers;
    std::map<std::string, Group> flows;
    std::map<int64_t, Interval> intervals;
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
        auto &counts = interval.attainedOfSent[tier];
        counts.first += attained ? 1 : 0;
        ++counts.second;
        if (sample.intended < warmUp)
            continue;
        total.add(sample, attained);
        tiers[tier].add(sample, attained);
        flows[sample.flow].add(sample, attained);
        lag.add(sample.sent - sample.intended);
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
    report.set_send_lag_p99_ms(samples.empty() ? 0 : lag.quantile(0.99));
    for (const auto &[name, count] : after) {
        const auto earlier = before.find(name);
        (*report.mutable_counters())[name] =
            count - (earlier == before.end() ? 0 : earlier->second);
    }
    writeIntervals(intervals, std::chrono::duration<double>(width).count(), report);
    return report;
}

double sumOfMetric(const std::string &page, const std::string &metric)
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
