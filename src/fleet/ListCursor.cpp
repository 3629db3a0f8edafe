// Implements the progress of reading a list.
#include "fleet/ListCursor.h"

#include "fleet/StoreEra.h"
#include "fleet/StorePosition.h"

namespace tray {

Result<Unit> ListCursor::handlePage(const ListPageSummary &page, Instant now)
{
    if (this->pageCount == 0)
        this->firstPosition = page.position;
    else if (eraOf(page.position) != eraOf(this->firstPosition))
        return staleEraError(this->firstPosition, eraOf(page.position));
    ++this->pageCount;
    this->objectCount += page.objects;
    if (!page.hasMore) {
        this->complete = true;
        return Unit{};
    }
    if (page.lastName.empty())
        return Error{ErrorKind::PlatformUnavailable,
                     "the list goes on after a page without a name"};
    if (!this->usedNames.insert(page.lastName).second)
        return Error{ErrorKind::PlatformUnavailable, "the list goes on with the same page"};
    this->lastName = page.lastName;
    this->retryUntil = now + RetryTime;
    this->pause = InitialPause;
    return Unit{};
}

std::optional<Duration> ListCursor::handleFailure(const Error &problem, Instant now)
{
    if (this->pageCount == 0 || problem.kind != ErrorKind::PlatformUnavailable ||
        now + this->pause >= this->retryUntil)
        return std::nullopt;
    const Duration next = this->pause;
    this->pause *= 2;
    return next;
}

} // namespace tray
