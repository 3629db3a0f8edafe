// Implements the reads and conditional writes of the records.
#include "gateway/ServiceVersionRecords.h"

#include "net/KeepRunning.h"
#include "net/Pause.h"
#include "observe/DecisionLog.h"
#include "observe/LogText.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

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
// Time between two checks of the versions; the searches that arrive meanwhile share the next one.
constexpr Duration CheckPause = milliseconds(100);
// Era of a store that was never restored; 0 if the store names none.
constexpr uint64_t FirstEra = 1;

void logFailure(std::string_view call, const std::string &service, const Error &problem)
{
    logDecision(LogPriority::Notable, clockNow(),
                fmt::format("event=version_record_failed call={} service={} outcome={} "
                            "reason={:?}",
                            call, LogText{service}, enumName(problem.kind), problem.message));
}

/// Splits the text of a record into the era of the store in which it was written, 0 if it names
/// none, and its versions.
std::pair<uint64_t, std::string_view> splitRecord(std::string_view text)
{
    uint64_t era = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), era);
    if (code != std::errc{})
        return {0, text};
    text.remove_prefix(static_cast<size_t>(end - text.data()));
    text.remove_prefix(text.starts_with(' ') ? 1 : 0);
    return {era, text};
}

} // namespace

void ServiceVersionRecords::start()
{
    keepRunning(this->context, "version_records", [this] { return this->keepLoop(); });
    keepRunning(this->context, "version_checks", [this] { return this->checkLoop(); });
}

void ServiceVersionRecords::stop()
{
    this->isStopping = true;
    this->changed.notifyAll();
    this->checkRequested.notifyAll();
    this->handleAnswersDue();
}

void ServiceVersionRecords::handleConfig(const FleetConfig &config)
{
    this->versions.handleConfig(config);
    this->configuredServices.clear();
    for (const auto &service : config.services)
        this->configuredServices.insert(service.name);
    std::erase_if(this->refusedTexts,
                  [&](const auto &item) { return !this->configuredServices.contains(item.first); });
    this->changed.notifyAll();
}

void ServiceVersionRecords::handleAnswersDue()
{
    this->areAnswersDue = true;
    this->checkEnded.notifyAll();
}

void ServiceVersionRecords::handleListChanges(const std::vector<UpstreamChange> &changes,
                                              Instant now)
{
    // Removed entries, too: their upstreams may have begun streams that another instance has seen.
    for (const auto &change : changes) {
        if (!change.entry.service.empty())
            this->versions.handleListedVersion(change.entry.service, change.entry.softwareVersion,
                                               now);
    }
    this->noteChanges("list_change", now);
}

asio::awaitable<std::optional<std::string>>
ServiceVersionRecords::findSoleVersion(std::string service, Instant limit)
{
    const Instant asOf = clockNow();
    // A check can only add versions, and it fails while the list is unreliable.
    if (!this->versions.soleVersion(service, Instant{}) || !this->hooks.isListReliable(asOf) ||
        this->hooks.hasDoubtedUpstream(service))
        co_return std::nullopt;
    this->wantedAsOf = asOf;
    ++this->waitingSearches;
    this->checkRequested.notifyAll();
    for (Instant now = asOf;
         now < limit && this->versions.knownAsOf() < asOf && !this->areAnswersDue; now = clockNow())
        co_await this->checkEnded.waitFor(limit - now);
    --this->waitingSearches;
    if (this->hooks.hasDoubtedUpstream(service))
        co_return std::nullopt;
    co_return this->versions.soleVersion(service, asOf);
}

asio::awaitable<void> ServiceVersionRecords::checkLoop()
{
    while (!this->isStopping) {
        if (this->waitingSearches == 0 || this->versions.knownAsOf() >= this->wantedAsOf) {
            co_await this->checkRequested.waitFor(CheckPeriod);
            continue;
        }
        const Instant askedAt = clockNow();
        const bool isKnown = co_await this->check();
        const Instant now = clockNow();
        if (isKnown)
            this->versions.noteChecked(askedAt);
        logDecision(LogPriority::Notable, now,
                    fmt::format("event=versions_checked known={} searches={} ms={}", isKnown,
                                this->waitingSearches, toMs(now - askedAt)));
        this->checkEnded.notifyAll();
        co_await pauseFor(CheckPause);
    }
}

asio::awaitable<bool> ServiceVersionRecords::check()
{
    const uint64_t eraBefore = this->store.era();
    // The records are read last: they name what has left the list.
    if (!co_await this->checkList() || !co_await this->readRecords())
        co_return false;
    co_return this->store.era() == eraBefore &&this->hooks.isListReliable(clockNow());
}

asio::awaitable<bool> ServiceVersionRecords::checkList()
{
    const uint64_t revision = this->hooks.listRevision();
    if (revision == 0)
        co_return false;
    const auto changes = co_await this->store.awaitUpstreams(revision, Duration::zero());
    if (isOk(changes)) {
        this->handleListChanges(value(changes).changes, clockNow());
        co_return true;
    }
    if (error(changes).kind != ErrorKind::Stale)
        co_return false;
    this->noteHistoryGap();
    const auto list = co_await this->store.readUpstreams();
    if (!isOk(list))
        co_return false;
    for (const auto &entry : value(list).entries)
        this->versions.handleListedVersion(entry.service, entry.softwareVersion, clockNow());
    this->noteChanges("list_check", clockNow());
    co_return true;
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
                    fmt::format("event=service_versions service={} versions={} source={}",
                                LogText{service},
                                LogText{fmt::format("{}", fmt::join(logged, ","))}, source));
        this->changed.notifyAll();
    }
}

bool ServiceVersionRecords::areRecordsOutdated() const
{
    const uint64_t era = this->store.era();
    if (this->records.empty())
        return era > FirstEra;
    return std::any_of(this->records.begin(), this->records.end(),
                       [&](const auto &item) { return item.second.era != era; });
}

void ServiceVersionRecords::handleRecord(const Record &record, Instant now)
{
    const auto [era, versionText] = splitRecord(record.text);
    this->records[record.name] = {record.text, record.revision, era};
    this->versions.handleRecord(record.name, versionText, now);
    logDecision(LogPriority::Notable, now,
                fmt::format("event=version_record_read service={} revision={} era={} malformed={}",
                            LogText{record.name}, record.revision, era,
                            !parseVersionRecord(versionText).has_value()));
}

asio::awaitable<void> ServiceVersionRecords::keepLoop()
{
    Duration backoff = InitialRetryBackoff;
    bool wasWriter = false;
    while (!this->isStopping) {
        const Instant now = clockNow();
        this->versions.expire(now);
        this->noteChanges("expiry", now);
        const bool writes = this->hooks.isWriter();
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
    // A process that has read them before knows what a restore undoes, and writes them again.
    const bool isOutdated =
        !std::exchange(this->hasReadRecords, true) && this->areRecordsOutdated();
    if (isOutdated)
        this->versions.noteIncompleteRecords(now);
    logDecision(LogPriority::Notable, now,
                fmt::format("event=version_records_read count={} era={} outdated={}",
                            value(reading).size(), this->store.era(), isOutdated));
    this->noteChanges("record", now);
    // Before the first answer the era is not known.
    if (this->readEra && eraBefore == 0)
        this->readEra = this->store.era();
    co_return true;
}

std::string ServiceVersionRecords::textToWrite(const std::string &service) const
{
    const auto serviceVersions = this->versions.versionsOf(service);
    const auto known = this->records.find(service);
    const bool exists = known != this->records.end();
    if (!this->configuredServices.contains(service) || !this->versions.mayWriteRecord(service) ||
        (!exists && serviceVersions.empty()))
        return "";
    std::string text =
        fmt::format("{} {}", this->store.era(), formatVersionRecord(serviceVersions));
    const auto refused = this->refusedTexts.find(service);
    const bool isRefused = refused != this->refusedTexts.end() && refused->second == text;
    return isRefused || (exists && known->second.text == text) ? "" : text;
}

asio::awaitable<bool> ServiceVersionRecords::writeRecords()
{
    for (const auto &service : this->versions.services()) {
        const std::string text = this->textToWrite(service);
        if (text.empty())
            continue;
        const auto known = this->records.find(service);
        const uint64_t era = this->store.era();
        const Record record{service, text,
                            known != this->records.end() ? known->second.revision : 0};
        const auto written = co_await this->store.writeRecord(VersionRecords, record);
        if (isOk(written)) {
            this->records[service] = {text, value(written), era};
            this->versions.noteRecordWritten(service);
            this->refusedTexts.erase(service);
            logDecision(LogPriority::Notable, clockNow(),
                        fmt::format("event=version_record_written service={} text={:?} "
                                    "revision={}",
                                    LogText{service}, text, value(written)));
            continue;
        }
        logFailure("write", service, error(written));
        const auto kind = error(written).kind;
        // The records of the other services do not wait for one that cannot be written.
        if (kind == ErrorKind::BadRequest) {
            this->refusedTexts[service] = text;
            continue;
        }
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
