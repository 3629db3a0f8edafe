// Implements the reads and conditional writes of the records.
#include "gateway/ServiceVersionRecords.h"

#include "net/KeepRunning.h"
#include "observe/DecisionLog.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace tray {

namespace asio = boost::asio;

namespace {

// Collection of the records in the store; one record for each service.
constexpr auto VersionRecords = "software-versions";
// Time between two checks whether versions have expired or the store has been restored.
constexpr Duration CheckPeriod = std::chrono::seconds(1);
// Initial and maximum backoff after a failed call; doubles with each failure.
constexpr Duration InitialRetryBackoff = milliseconds(300);
constexpr Duration MaxRetryBackoff = milliseconds(1500);

void logFailure(std::string_view call, const std::string &service, const Error &problem)
{
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=version_record_failed call={} service={} outcome={} "
                            "reason=\"{}\"",
                            call, service, enumName(problem.kind), problem.message));
}

} // namespace

void ServiceVersionRecords::start()
{
    keepRunning(this->context, "version_records", [this] { return this->keepLoop(); });
}

void ServiceVersionRecords::stop()
{
    this->isStopping = true;
    this->changed.notifyAll();
}

void ServiceVersionRecords::confirmList(Instant now)
{
    if (!this->versions.confirmList(now))
        this->requestRead();
}

void ServiceVersionRecords::requestRead()
{
    this->readEra.reset();
    this->changed.notifyAll();
}

void ServiceVersionRecords::handleList(const std::map<std::string, UpstreamEntry> &entries,
                                       Instant now)
{
    this->versions.handleList(entries, now);
    this->noteChanges("list", now);
}

void ServiceVersionRecords::noteChanges(std::string_view source, Instant now)
{
    for (const auto &service : this->versions.services()) {
        auto present = this->versions.versionsOf(service);
        auto &logged = this->loggedVersions[service];
        if (present == logged)
            continue;
        logged = std::move(present);
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=service_versions service={} versions={} source={}", service,
                                fmt::join(logged, ","), source));
        this->changed.notifyAll();
    }
}

void ServiceVersionRecords::handleRecord(const Record &record, Instant now)
{
    this->records[record.name] = {record.text, record.revision};
    this->versions.handleRecord(record.name, record.text, now);
    logDecision(LogPriority::Notable, now,
                fmt::format("event=version_record_read service={} revision={} malformed={}",
                            record.name, record.revision,
                            !parseVersionRecord(record.text).has_value()));
}

asio::awaitable<void> ServiceVersionRecords::keepLoop()
{
    Duration backoff = InitialRetryBackoff;
    bool wasWriter = false;
    while (!this->isStopping) {
        const Instant now = clockNow();
        this->versions.expire(now);
        this->noteChanges("expiry", now);
        const bool writes = this->isWriter();
        // The records that the previous writer left are not known.
        if (writes && !std::exchange(wasWriter, writes))
            this->readEra.reset();
        wasWriter = writes;
        bool isDone = true;
        if (this->readEra != this->store.era())
            isDone = co_await this->readRecords();
        if (isDone && writes && !this->isStopping)
            isDone = co_await this->writeRecords();
        if (this->isStopping)
            break;
        backoff = isDone ? InitialRetryBackoff : std::min(backoff * 2, MaxRetryBackoff);
        co_await this->changed.waitFor(isDone ? CheckPeriod : backoff);
    }
}

asio::awaitable<bool> ServiceVersionRecords::readRecords()
{
    const uint64_t eraBefore = this->store.era();
    // A request for another read during this one is kept.
    this->readEra = eraBefore;
    const auto reading = co_await this->store.listRecords(VersionRecords);
    if (!isOk(reading)) {
        this->readEra.reset();
        logFailure("list", "", error(reading));
        co_return false;
    }
    const Instant now = clockNow();
    this->records.clear();
    for (const auto &record : value(reading))
        this->handleRecord(record, now);
    this->versions.handleRecordsRead();
    logDecision(LogPriority::Notable, now,
                fmt::format("event=version_records_read count={} era={}", value(reading).size(),
                            this->store.era()));
    this->noteChanges("record", now);
    // Before the first answer the era is not known.
    if (this->readEra && eraBefore == 0)
        this->readEra = this->store.era();
    co_return true;
}

asio::awaitable<bool> ServiceVersionRecords::writeRecords()
{
    for (const auto &service : this->versions.services()) {
        const auto known = this->records.find(service);
        const bool exists = known != this->records.end();
        const std::string text = formatVersionRecord(this->versions.versionsOf(service));
        if (!this->versions.mayWriteRecord(service) ||
            (exists ? known->second.text == text : text.empty()))
            continue;
        const Record record{service, text, exists ? known->second.revision : 0};
        const auto written = co_await this->store.writeRecord(VersionRecords, record);
        if (isOk(written)) {
            this->records[service] = {text, value(written)};
            logDecision(LogPriority::Notable, clockNow(),
                        fmt::format("event=version_record_written service={} text=\"{}\" "
                                    "revision={}",
                                    service, text, value(written)));
            continue;
        }
        logFailure("write", service, error(written));
        const auto kind = error(written).kind;
        if (kind != ErrorKind::VersionConflict && kind != ErrorKind::NotFound)
            co_return false;
        if (!co_await this->readAfterConflict(service))
            co_return false;
        // Merged versions are written after a backoff.
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> ServiceVersionRecords::readAfterConflict(std::string service)
{
    const auto present = co_await this->store.readRecord(VersionRecords, service);
    if (isOk(present)) {
        this->handleRecord(value(present), clockNow());
        this->noteChanges("record", clockNow());
        co_return true;
    }
    if (error(present).kind != ErrorKind::NotFound) {
        logFailure("read", service, error(present));
        co_return false;
    }
    this->records.erase(service);
    co_return true;
}

} // namespace tray
