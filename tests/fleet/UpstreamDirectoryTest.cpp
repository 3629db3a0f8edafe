// Guards against requests to upstreams that have ended, and against dropping running upstreams
// whose entries a failing store has lost.
#include "fleet/UpstreamDirectory.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

UpstreamEntry makeEntry(const std::string &id, uint64_t startedAtMs = 1)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.service = "llm";
    entry.address = {"10.0.0.1", 80};
    entry.startedAtMs = startedAtMs;
    return entry;
}

UpstreamChange makeRemoval(const std::string &id)
{
    UpstreamChange change;
    change.removed = true;
    change.entry.id = id;
    return change;
}

} // namespace

TEST_CASE("An upstream that is removed from the list gets no new requests")
{
    UpstreamDirectory directory;
    directory.noteStoreAnswer(Start);
    directory.replaceAll({makeEntry("a"), makeEntry("b")}, Start);

    SUBCASE("a removal while the store is working ends its use immediately")
    {
        const auto notices = directory.apply(makeRemoval("a"), Start);
        REQUIRE(notices.size() == 1);
        CHECK(notices.front().event == UpstreamEvent::Removed);
        CHECK_FALSE(directory.entries().contains("a"));
        CHECK(directory.entries().contains("b"));
    }
    SUBCASE("a complete list without it, read after the history was lost, ends its use as well")
    {
        directory.replaceAll({makeEntry("b")}, Start);
        CHECK_FALSE(directory.entries().contains("a"));
    }
    SUBCASE("the drain is reported once")
    {
        auto leaving = makeEntry("a");
        leaving.phase = UpstreamPhase::Draining;
        CHECK(directory.apply({false, leaving}, Start).front().event == UpstreamEvent::Draining);
        CHECK(directory.apply({false, leaving}, Start).front().event == UpstreamEvent::Updated);
    }
    SUBCASE("an entry with the same id and another start time is a restarted engine")
    {
        CHECK(directory.apply({false, makeEntry("a", 2)}, Start).front().event ==
              UpstreamEvent::Restarted);
    }
}

TEST_CASE("An entry that vanishes after a failure of the store does not end its upstream's use")
{
    UpstreamDirectory directory;
    directory.noteStoreAnswer(Start);
    directory.replaceAll({makeEntry("a"), makeEntry("b")}, Start);
    directory.noteStoreFailure(Start);
    const Instant returnedAt = Start + std::chrono::seconds(5);
    directory.noteStoreAnswer(returnedAt);
    CHECK(directory.apply(makeRemoval("a"), returnedAt).front().event == UpstreamEvent::Missing);
    CHECK(directory.entries().contains("a"));

    SUBCASE("it stays in use if it is listed again in time")
    {
        directory.apply({false, makeEntry("a")}, returnedAt + std::chrono::seconds(1));
        CHECK(directory.removeExpired(returnedAt + std::chrono::minutes(1)).empty());
        CHECK(directory.entries().contains("a"));
    }
    SUBCASE("it is removed once the store has been back for long enough")
    {
        CHECK(directory.removeExpired(returnedAt + std::chrono::seconds(1)).empty());
        const auto notices =
            directory.removeExpired(returnedAt + UpstreamDirectory::RelistGracePeriod);
        REQUIRE(notices.size() == 1);
        CHECK(notices.front().event == UpstreamEvent::Removed);
        CHECK_FALSE(directory.entries().contains("a"));
    }
    SUBCASE("a second outage restarts the grace period")
    {
        directory.noteStoreFailure(returnedAt + std::chrono::seconds(1));
        CHECK(directory.removeExpired(returnedAt + std::chrono::minutes(1)).empty());
        directory.noteStoreAnswer(returnedAt + std::chrono::minutes(2));
        CHECK(
            directory.removeExpired(returnedAt + std::chrono::minutes(2) + std::chrono::seconds(1))
                .empty());
        CHECK(directory
                  .removeExpired(returnedAt + std::chrono::minutes(2) +
                                 UpstreamDirectory::RelistGracePeriod)
                  .size() == 1);
    }
    SUBCASE("a call from before the store's return that fails later is no second outage")
    {
        CHECK_FALSE(directory.noteStoreFailure(Start + std::chrono::seconds(1)));
        directory.noteStoreAnswer(returnedAt + std::chrono::seconds(2));
        CHECK(directory.removeExpired(returnedAt + UpstreamDirectory::RelistGracePeriod).size() ==
              1);
    }
    SUBCASE("a draining upstream is removed whatever the state of the store")
    {
        auto leaving = makeEntry("b");
        leaving.phase = UpstreamPhase::Draining;
        directory.apply({false, leaving}, returnedAt);
        CHECK(directory.apply(makeRemoval("b"), returnedAt).front().event ==
              UpstreamEvent::Removed);
    }
}
