// Decides how a list of several pages is read on, whether a page is read again after a failure, and
// whether what was read is the whole list.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace tray {

/// What matters of one page for reading on.
struct ListPageSummary
{
    size_t objects = 0;
    /// Name of the last object that has one; empty if none has.
    std::string lastName;
    bool hasMore = false;
    /// Store position at which the page was read.
    uint64_t position = 0;
};

/// Progress of reading one list. Does no I/O: pages, failures and the time are arguments.
class ListCursor
{
public:
    /// Initial pause before a page is read again; doubles with each failure.
    static constexpr Duration InitialPause = milliseconds(100);
    /// Time after a page within which the next one is read again if that fails. Shorter than the
    /// timeout of a call, so that an outage of the store is noticed no later.
    static constexpr Duration RetryTime = milliseconds(1200);

    explicit ListCursor(Instant startedAt) : startedAt(startedAt) {}

    /// Handles a page. Fails with PlatformUnavailable if the list cannot be read to its end, with
    /// Stale if the page is of another era than the first one. A list without its end is no shorter
    /// list: it does not show which objects are absent.
    Result<Unit> handlePage(const ListPageSummary &page, Instant now);
    /// Returns the pause after which a page that could not be read is read again; nothing if the
    /// list is given up. A first page is not read again: nothing is lost with it.
    std::optional<Duration> handleFailure(const Error &problem, Instant now);

    /// Name after which the next page begins; empty before the first page.
    const std::string &after() const { return this->lastName; }
    bool isComplete() const { return this->complete; }
    /// Position of the first page. A watch from there reports what changes while later pages are
    /// read.
    uint64_t position() const { return this->firstPosition; }
    int pages() const { return this->pageCount; }
    size_t objects() const { return this->objectCount; }
    Duration duration(Instant now) const { return now - this->startedAt; }

private:
    Instant startedAt;
    std::string lastName;
    // Names after which pages began. A store that does not read such a name as it was written
    // answers with the same pages again.
    std::set<std::string> usedNames;
    uint64_t firstPosition = 0;
    int pageCount = 0;
    size_t objectCount = 0;
    bool complete = false;
    Instant retryUntil{};
    Duration pause = InitialPause;
};

} // namespace tray
