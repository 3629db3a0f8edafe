#include "ctl/TicketSubmitter.h"

#include "base/Hash.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tray {

namespace {

namespace asio = boost::asio;

/// Whether a failure is transient, so that the call should be retried.
bool isTransient(ErrorKind kind)
{
    return kind == ErrorKind::PlatformUnavailable || kind == ErrorKind::Overloaded ||
           kind == ErrorKind::OutcomeUnknown || kind == ErrorKind::Timeout;
}

} // namespace

TicketSubmitter::TicketSubmitter(ObjectApi &api, std::function<double()> random, TicketRetry retry)
    : api(api), random(std::move(random)), retry(retry)
{}

asio::awaitable<Result<TicketBoard>> TicketSubmitter::readBoard()
{
    const auto stored = co_await this->api.read(std::string(HeadKey));
    proto::Head head;
    if (isOk(stored)) {
        if (!head.ParseFromString(value(stored).value))
            co_return Error{ErrorKind::Internal, "the head is damaged"};
        this->headObjectVersion = value(stored).version;
    } else if (error(stored).kind == ErrorKind::NotFound) {
        this->headObjectVersion = 0;
    } else {
        co_return error(stored);
    }
    SectionBytes sections;
    for (const uint64_t digest : missingSections(head, sections)) {
        auto section = co_await this->api.read(sectionKey(digest));
        if (!isOk(section))
            co_return error(section);
        sections[digest] = std::move(value(section).value);
    }
    const auto objects = readObjects(head, sections);
    if (!isOk(objects))
        co_return error(objects);
    co_return TicketBoard(std::move(head), value(objects));
}

asio::awaitable<Result<TicketPlan>> TicketSubmitter::check(proto::Ticket ticket,
                                                           std::vector<EngineCapacity> engines)
{
    const auto board = co_await this->readBoard();
    if (!isOk(board))
        co_return error(board);
    co_return value(board).plan(ticket, engines, newNonce());
}

asio::awaitable<Result<TicketAcceptance>>
TicketSubmitter::submit(proto::Ticket ticket, std::vector<EngineCapacity> engines, Instant deadline)
{
    Backoff backoff(this->retry.initialBackoff, this->retry.maxBackoff);
    bool outcomeUnknown = false;
    while (true) {
        auto attempt = co_await this->attempt(ticket, engines);
        if (attempt.result == AttemptResult::Accepted)
            co_return attempt.acceptance;
        if (attempt.result == AttemptResult::Refused)
            co_return attempt.problem;
        outcomeUnknown = outcomeUnknown || attempt.result == AttemptResult::OutcomeUnknown;
        const auto wait = backoff.next(this->random());
        if (std::chrono::steady_clock::now() + wait >= deadline) {
            co_return Error{outcomeUnknown ? ErrorKind::OutcomeUnknown
                                           : ErrorKind::PlatformUnavailable,
                            attempt.problem.message};
        }
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(wait);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

TicketSubmitter::Attempt TicketSubmitter::makeFailedAttempt(const Error &problem)
{
    Attempt failure;
    // A retry does not help if a section is missing or the head is damaged.
    failure.result = isTransient(problem.kind) ? AttemptResult::Retry : AttemptResult::Refused;
    failure.problem = problem;
    return failure;
}

asio::awaitable<TicketSubmitter::Attempt>
TicketSubmitter::attempt(proto::Ticket ticket, std::vector<EngineCapacity> engines)
{
    const auto board = co_await this->readBoard();
    if (!isOk(board))
        co_return makeFailedAttempt(error(board));
    const auto plan = value(board).plan(ticket, engines, newNonce());
    if (!isOk(plan))
        co_return makeFailedAttempt(error(plan));
    Attempt attempt;
    attempt.acceptance = {value(plan).headVersion, value(plan).alreadyAccepted};
    if (value(plan).alreadyAccepted) {
        attempt.result = AttemptResult::Accepted;
        co_return attempt;
    }
    const auto sections = co_await this->writeSections(value(plan).sections);
    if (!isOk(sections))
        co_return makeFailedAttempt(error(sections));
    const auto written = co_await this->writeHead(value(plan).head);
    attempt.result = written.result;
    attempt.problem = written.problem;
    co_return attempt;
}

asio::awaitable<TicketSubmitter::Attempt> TicketSubmitter::writeHead(proto::Head head)
{
    Attempt attempt;
    auto bytes = head.SerializeAsString();
    const auto written =
        co_await this->api.write(std::string(HeadKey), std::move(bytes), this->headObjectVersion);
    if (isOk(written)) {
        attempt.result = AttemptResult::Accepted;
        co_return attempt;
    }
    const auto kind = error(written).kind;
    // After a version conflict, the next attempt checks the ticket against the head that was
    // written first.
    if (kind != ErrorKind::VersionConflict && kind != ErrorKind::OutcomeUnknown)
        co_return makeFailedAttempt(error(written));
    attempt.problem = error(written);
    if (kind == ErrorKind::VersionConflict)
        co_return attempt;
    attempt.result = AttemptResult::OutcomeUnknown;
    const auto reread = co_await this->readBoard();
    if (isOk(reread) && value(reread).head().writer_nonce() == head.writer_nonce())
        attempt.result = AttemptResult::Accepted;
    co_return attempt;
}

asio::awaitable<Result<Unit>> TicketSubmitter::writeSections(const SectionBytes &sections)
{
    for (const auto &[digest, bytes] : sections) {
        const auto written = co_await this->api.write(sectionKey(digest), bytes, 0);
        // The key of a section is the digest of its content, so an existing section is identical.
        if (!isOk(written) && error(written).kind != ErrorKind::VersionConflict)
            co_return error(written);
    }
    co_return Unit{};
}

} // namespace tray
