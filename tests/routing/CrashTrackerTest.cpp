// Tests which broken connections count as crashes, and when a request is refused for them.
#include "routing/CrashTracker.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

constexpr uint64_t Crashing = 1;
constexpr uint64_t Innocent = 2;

proto::SuspectReport makeReport(const std::vector<proto::Suspect> &suspects)
{
    proto::SuspectReport report;
    for (const auto &suspect : suspects)
        *report.add_suspects() = suspect;
    return report;
}

} // namespace

TEST_CASE("A request is refused after three confirmed crashes")
{
    const Instant start{std::chrono::hours(1)};
    CrashTracker tracker;
    const auto crash = [&](uint64_t digest, const std::string &upstream, Instant at) {
        tracker.recordBreak(digest, upstream, upstream + "@1", at);
        return tracker.recordEnd(upstream, at);
    };
    SUBCASE("a connection that breaks while its upstream lives counts for nothing")
    {
        for (int i = 0; i < 10; ++i) {
            const Instant at = start + std::chrono::seconds(i);
            tracker.recordBreak(Crashing, "a", "a@1", at);
            tracker.recordAlive("a", at);
        }
        CHECK(tracker.recordEnd("a", start + std::chrono::seconds(10)).empty());
        CHECK(tracker.verdict(Crashing, start) == SuspectVerdict::Unsuspected);
    }
    SUBCASE("a connection that breaks while a probe is under way needs another probe")
    {
        tracker.recordBreak(Crashing, "a", "a@1", start);
        tracker.recordBreak(Innocent, "a", "a@1", start + milliseconds(2));
        CHECK(tracker.recordAlive("a", start + milliseconds(1)));
        CHECK(!tracker.recordAlive("a", start + milliseconds(3)));
    }
    SUBCASE("the news of the end may come seconds after the break, but not much later")
    {
        tracker.recordBreak(Crashing, "a", "a@1", start);
        tracker.recordBreak(Innocent, "b", "b@1", start);
        CHECK(tracker.recordEnd("a", start + std::chrono::seconds(6)).size() == 1);
        CHECK(tracker.recordEnd("b", start + CrashTracker::CaseLifetime).empty());
    }
    SUBCASE("from the first crash on it runs alone, and from the third on not at all")
    {
        crash(Crashing, "a", start);
        CHECK(tracker.verdict(Crashing, start) == SuspectVerdict::RunAlone);
        auto pass = tracker.gate().tryPass(Crashing);
        CHECK(pass);
        CHECK(!tracker.gate().tryPass(Crashing));
        pass.reset();
        CHECK(tracker.gate().tryPass(Crashing));
        crash(Crashing, "b", start);
        CHECK(tracker.verdict(Crashing, start) == SuspectVerdict::RunAlone);
        crash(Crashing, "c", start);
        CHECK(tracker.verdict(Crashing, start) == SuspectVerdict::Refused);
        CHECK(tracker.timeLeft(Crashing, start) == SuspectTable::SuspectLifetime);
        CHECK(tracker.verdict(Crashing, start + SuspectTable::SuspectLifetime) ==
              SuspectVerdict::Unsuspected);
    }
    SUBCASE("an upstream that restarts under its name is counted again")
    {
        for (int born = 1; born <= 3; ++born) {
            tracker.recordBreak(Crashing, "a", "a@" + std::to_string(born), start);
            tracker.recordEnd("a", start);
        }
        CHECK(tracker.verdict(Crashing, start) == SuspectVerdict::Refused);
    }
    SUBCASE("a request that ran beside it is cleared once an upstream has completed it")
    {
        for (const std::string upstream : {"a", "b"}) {
            tracker.recordBreak(Innocent, upstream, upstream + "@1", start);
            crash(Crashing, upstream, start);
            CHECK(tracker.verdict(Innocent, start) == SuspectVerdict::RunAlone);
            CHECK(tracker.recordCompletion(Innocent, start).size() == 1);
            CHECK(tracker.verdict(Innocent, start) == SuspectVerdict::Unsuspected);
        }
        CHECK(tracker.crashCount(Crashing, start) == 2);
        CHECK(tracker.recordCompletion(Innocent, start).empty());
    }
    SUBCASE("a peer learns of crashes and of completions, in whichever order the news arrives")
    {
        CrashTracker peer;
        const auto first = makeReport(crash(Crashing, "a", start));
        CHECK(peer.merge(first, start).size() == 1);
        CHECK(peer.merge(first, start).empty());
        const Instant later = start + std::chrono::seconds(1);
        auto cleared = makeReport(tracker.recordCompletion(Crashing, later));
        CHECK(peer.merge(cleared, later).size() == 1);
        CHECK(peer.verdict(Crashing, later) == SuspectVerdict::Unsuspected);
        auto repeated = first;
        repeated.mutable_suspects(0)->set_remaining_ms(repeated.suspects(0).remaining_ms() - 1500);
        CHECK(peer.merge(repeated, start + milliseconds(1500)).empty());
        CHECK(peer.verdict(Crashing, later) == SuspectVerdict::Unsuspected);
        const Instant again = start + std::chrono::seconds(2);
        CHECK(peer.merge(makeReport(crash(Crashing, "b", again)), again).size() == 1);
        cleared.mutable_suspects(0)->set_remaining_ms(cleared.suspects(0).remaining_ms() - 1000);
        CHECK(peer.merge(cleared, again).empty());
        CHECK(peer.verdict(Crashing, again) == SuspectVerdict::RunAlone);
    }
    SUBCASE("an odd report leaves the table bounded")
    {
        proto::Suspect odd;
        odd.set_content_digest(Crashing);
        odd.set_crashes(4000000000u);
        odd.set_remaining_ms(4000000000u);
        for (int i = 0; i < 1000; ++i)
            odd.add_upstreams(std::to_string(i));
        tracker.merge(makeReport({odd}), start);
        CHECK(tracker.timeLeft(Crashing, start) <= SuspectTable::SuspectLifetime);
        REQUIRE(tracker.recentChanges(start, true).size() == 1);
        CHECK(tracker.recentChanges(start, true)[0].upstreams_size() <=
              static_cast<int>(SuspectTable::MaxListedUpstreams));
    }
    SUBCASE("open cases are bounded")
    {
        for (uint64_t digest = 0; digest < 2 * CrashTracker::MaxOpenCases; ++digest)
            tracker.recordBreak(digest, "a", "a@1", start);
        CHECK(tracker.recordEnd("a", start).size() <= CrashTracker::MaxOpenCases);
    }
}
