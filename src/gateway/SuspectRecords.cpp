// Implements the reads and conditional writes of the records.
#include "gateway/SuspectRecords.h"

#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"
#include "routing/SuspectRecord.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace tray {

namespace asio = boost::asio;

namespace {

// Collection of the records in the store; one record for each data centre.
constexpr auto Collection = "crash-suspects";
// Time between two checks whether suspects have changed or the store has been restored.
constexpr Duration CheckPeriod = milliseconds(500);
// Initial and maximum backoff after a failed call; doubles with each failure.
constexpr Duration InitialRetryBackoff = milliseconds(300);
constexpr Duration MaxRetryBackoff = milliseconds(1500);

void logFailure(std::string_view call, const Error &problem)
{
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=suspect_record_failed call={} outcome={} reason={:?}", call,
                            enumName(problem.kind), problem.message));
}

/// Returns the suspects in a form that does not change as time passes.
std::string timelessContent(std::vector<proto::Suspect> suspects)
{
    for (auto &suspect : suspects)
        suspect.set_remaining_ms(0);
    return formatSuspectRecord(suspects, 0);
}

} // namespace

void SuspectRecords::start(Instant now)
{
    this->startedAt = now;
    keepRunning(this->context, "suspect_records", [this] { return this->keepLoop(); });
}

asio::awaitable<void> SuspectRecords::keepLoop()
{
    Duration backoff = InitialRetryBackoff;
    bool wasWriter = false;
    while (!this->isStopping) {
        const bool writes = this->hooks.isWriter();
        // The record that the previous writer left is not known.
        if (writes && !std::exchange(wasWriter, writes))
            this->readEra.reset();
        wasWriter = writes;
        bool isDone = true;
        if (!this->isMerged || (writes && this->readEra != this->store.era()))
            isDone = co_await this->readRecords();
        this->wasTried = true;
        if (isDone && writes && !this->isStopping)
            isDone = co_await this->writeRecord();
        if (isDone)
            backoff = InitialRetryBackoff;
        const Duration pause = isDone ? CheckPeriod : backoff;
        if (!isDone)
            backoff = std::min(backoff * 2, MaxRetryBackoff);
        co_await pauseFor(pause);
    }
}

asio::awaitable<bool> SuspectRecords::readRecords()
{
    const auto reading = co_await this->store.listRecords(Collection);
    if (!isOk(reading)) {
        logFailure("list", error(reading));
        co_return false;
    }
    const Instant now = clockNow();
    this->revision = 0;
    this->content.clear();
    size_t count = 0;
    proto::SuspectReport stored;
    for (const auto &record : value(reading)) {
        auto suspects = parseSuspectRecord(record.text, wallNow());
        const bool isMalformed = !suspects.has_value();
        if (isMalformed)
            logDecision(
                LogPriority::Notable, now,
                fmt::format("event=suspect_record_malformed data_centre={}", LogText{record.name}));
        if (record.name == this->dataCentre) {
            this->revision = record.revision;
            this->content =
                isMalformed
                    ? record.text
                    : timelessContent({suspects->suspects().begin(), suspects->suspects().end()});
        }
        if (!isMalformed)
            stored.MergeFrom(*suspects);
    }
    // A later read may find what a peer has refuted since, and what a restore has brought back.
    if (!std::exchange(this->isMerged, true)) {
        count = static_cast<size_t>(stored.suspects_size());
        this->hooks.merge(stored, now);
    }
    this->readEra = this->store.era();
    logDecision(LogPriority::Notable, now,
                fmt::format("event=suspect_records_read count={} merged={} revision={}",
                            value(reading).size(), count, this->revision));
    co_return true;
}

asio::awaitable<bool> SuspectRecords::writeRecord()
{
    const auto suspects = this->hooks.confirmed(MaxSuspects, clockNow());
    std::string present = timelessContent(suspects);
    if (present == this->content)
        co_return true;
    const Record record{this->dataCentre, formatSuspectRecord(suspects, wallNow()), this->revision};
    const auto written = co_await this->store.writeRecord(Collection, record);
    if (!isOk(written)) {
        logFailure("write", error(written));
        // The write may have taken effect, or another process may have written.
        this->readEra.reset();
        co_return false;
    }
    this->revision = value(written);
    this->content = std::move(present);
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=suspect_record_written suspects={} revision={}", suspects.size(),
                            this->revision));
    co_return true;
}

} // namespace tray
