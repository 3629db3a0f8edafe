// Entries of the instance list under a store that fails and loses entries.
#include "fleet/UpstreamDirectory.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

UpstreamEntry engineNamed(const std::string &id, uint64_t startedAtMs = 1)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.service = "llm";
    entry.address = {"10.0.0.1", 80};
    entry.startedAtMs = startedAtMs;
    return entry;
}

UpstreamChange removal(const std::string &id)
{
    UpstreamChange change;
    change.removed = true;
    change.entry.id = id;
    return change;
}

} // namespace

TEST_CASE("An upstream that leaves the list gets no new work")
{
    UpstreamDirectory directory;
    directory.noteStoreAnswer(Start);
    directory.replaceAll({engineNamed("a"), engineNamed("b")}, Start);

    SUBCASE("a removal while the store is well ends its use at once")
    {
        const auto notices = directory.apply(removal("a"), Start);
        REQUIRE(notices.size() == 1);
        CHECK(notices.front().event == UpstreamEvent::Removed);
        CHECK_FALSE(directory.entries().contains("a"));
        CHECK(directory.entries().contains("b"));
    }
    SUBCASE("a list without it, read after lost history, ends its use as well")
    {
        directory.replaceAll({engineNamed("b")}, Start);
        CHECK_FALSE(directory.entries().contains("a"));
    }
    SUBCASE("the drain is told once")
    {
        auto leaving = engineNamed("a");
        leaving.phase = UpstreamPhase::Draining;
        CHECK(directory.apply({false, leaving}, Start).front().event == UpstreamEvent::Draining);
        CHECK(directory.apply({false, leaving}, Start).front().event == UpstreamEvent::Updated);
    }
    SUBCASE("the same identity with another start is another engine")
    {
        CHECK(directory.apply({false, engineNamed("a", 2)}, Start).front().event ==
              UpstreamEvent::Restarted);
    }
}

TEST_CASE("An entry that vanishes while the store is disturbed says nothing of its upstream")
{
    UpstreamDirectory directory;
    directory.noteStoreAnswer(Start);
    directory.replaceAll({engineNamed("a"), engineNamed("b")}, Start);
    directory.noteStoreFailure(Start);
    const Instant back = Start + std::chrono::seconds(5);
    directory.noteStoreAnswer(back);
    CHECK(directory.apply(removal("a"), back).front().event == UpstreamEvent::Missing);
    CHECK(directory.entries().contains("a"));

    SUBCASE("it stays in use if it is listed again in time")
    {
        directory.apply({false, engineNamed("a")}, back + std::chrono::seconds(1));
        CHECK(directory.removeExpired(back + std::chrono::minutes(1)).empty());
        CHECK(directory.entries().contains("a"));
    }
    SUBCASE("it is gone if the store has been back for long enough")
    {
        CHECK(directory.removeExpired(back + std::chrono::seconds(1)).empty());
        const auto notices = directory.removeExpired(back + UpstreamDirectory::RelistGracePeriod);
        REQUIRE(notices.size() == 1);
        CHECK(notices.front().event == UpstreamEvent::Removed);
        CHECK_FALSE(directory.entries().contains("a"));
    }
    SUBCASE("a second outage starts the time anew")
    {
        directory.noteStoreFailure(back + std::chrono::seconds(1));
        CHECK(directory.removeExpired(back + std::chrono::minutes(1)).empty());
        directory.noteStoreAnswer(back + std::chrono::minutes(2));
        CHECK(directory.removeExpired(back + std::chrono::minutes(2) + std::chrono::seconds(1))
                  .empty());
        CHECK(directory
                  .removeExpired(back + std::chrono::minutes(2) +
                                 UpstreamDirectory::RelistGracePeriod)
                  .size() == 1);
    }
    SUBCASE("a call from before the return that fails late is no second outage")
    {
        CHECK_FALSE(directory.noteStoreFailure(Start + std::chrono::seconds(1)));
        directory.noteStoreAnswer(back + std::chrono::seconds(2));
        CHECK(directory.removeExpired(back + UpstreamDirectory::RelistGracePeriod).size() == 1);
    }
    SUBCASE("one that had announced its leave is gone whatever the store's condition")
    {
        auto leaving = engineNamed("b");
        leaving.phase = UpstreamPhase::Draining;
        directory.apply({false, leaving}, back);
        CHECK(directory.apply(removal("b"), back).front().event == UpstreamEvent::Removed);
    }
}
