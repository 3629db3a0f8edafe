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

SuspectVerdict judge(const CrashTracker &tracker, uint64_t contentDigest, Instant now)
{
    return tracker.decide({contentDigest, {}, {}}, now).verdict;
}

} // namespace

TEST_CASE("A request is refused after three confirmed crashes")
{
    const Instant start{std::chrono::hours(1)};
    CrashTracker tracker;
    const auto crash = [&](uint64_t digest, const std::string &upstream, Instant at) {
        tracker.recordBreak({digest, {}, {}}, upstream, upstream + "@1", at, at);
        return tracker.recordEnd(upstream, at);
    };
    SUBCASE("a connection that breaks while its upstream lives counts for nothing")
    {
        for (int i = 0; i < 10; ++i) {
            const Instant at = start + std::chrono::seconds(i);
            tracker.recordBreak({Crashing, {}, {}}, "a", "a@1", at, at);
            tracker.recordAlive("a", at);
        }
        CHECK(tracker.recordEnd("a", start + std::chrono::seconds(10)).empty());
        CHECK(judge(tracker, Crashing, start) == SuspectVerdict::Unsuspected);
    }
    SUBCASE("a connection that breaks while a probe is under way needs another probe")
    {
        tracker.recordBreak({Crashing, {}, {}}, "a", "a@1", start, start);
        tracker.recordBreak({Innocent, {}, {}}, "a", "a@1", start + milliseconds(2),
                            start + milliseconds(2));
        CHECK(tracker.recordAlive("a", start + milliseconds(1)));
        CHECK(!tracker.recordAlive("a", start + milliseconds(3)));
    }
    SUBCASE("the news of the end may come seconds after the break, but not much later")
    {
        tracker.recordBreak({Crashing, {}, {}}, "a", "a@1", start, start);
        tracker.recordBreak({Innocent, {}, {}}, "b", "b@1", start, start);
        CHECK(tracker.recordEnd("a", start + std::chrono::seconds(6)).size() == 1);
        CHECK(tracker.recordEnd("b", start + CrashTracker::CaseLifetime).empty());
    }
    SUBCASE("from the first crash on it runs alone, and from the third on not at all")
    {
        crash(Crashing, "a", start);
        CHECK(judge(tracker, Crashing, start) == SuspectVerdict::RunAlone);
        auto pass = tracker.gate().tryPass(Crashing);
        CHECK(pass);
        CHECK(!tracker.gate().tryPass(Crashing));
        pass.reset();
        CHECK(tracker.gate().tryPass(Crashing));
        const Instant second = start + milliseconds(1);
        crash(Crashing, "b", second);
        CHECK(judge(tracker, Crashing, second) == SuspectVerdict::RunAlone);
        const Instant third = start + milliseconds(2);
        crash(Crashing, "c", third);
        CHECK(judge(tracker, Crashing, third) == SuspectVerdict::Refused);
        CHECK(tracker.decide({Crashing, {}, {}}, third).retryAfter ==
              SuspectTable::SuspectLifetime);
        CHECK(judge(tracker, Crashing, third + SuspectTable::SuspectLifetime - milliseconds(1)) ==
              SuspectVerdict::Refused);
        CHECK(judge(tracker, Crashing, third + SuspectTable::SuspectLifetime) ==
              SuspectVerdict::Unsuspected);
    }
    SUBCASE("but after crashes at the same moment, one that is sound is served soon")
    {
        for (const std::string upstream : {"a", "b", "c"})
            crash(Innocent, upstream, start);
        CrashTracker peer([](uint64_t) { return size_t{1}; });
        peer.merge(makeReport(tracker.recentChanges(start, true)), start);
        const Duration wait = tracker.decide({Innocent, {}, {}}, start).retryAfter;
        CHECK(judge(tracker, Innocent, start) == SuspectVerdict::Refused);
        REQUIRE(wait <= std::chrono::seconds(6));
        const Instant due = start + wait;
        const auto decision = tracker.decide({Innocent, {}, {}}, due);
        REQUIRE(decision.probes == std::vector<uint64_t>{Innocent});
        CHECK(judge(peer, Innocent, due) == SuspectVerdict::Refused);
        peer.merge(makeReport(tracker.recordProbes(decision.probes, due)), due);
        CHECK(judge(tracker, Innocent, due + std::chrono::seconds(1)) == SuspectVerdict::Refused);
        CHECK(judge(peer, Innocent, due + std::chrono::seconds(1)) == SuspectVerdict::Refused);
        tracker.recordCompletion(Innocent, due + std::chrono::seconds(1));
        CHECK(judge(tracker, Innocent, due + std::chrono::seconds(1)) ==
              SuspectVerdict::Unsuspected);
    }
    SUBCASE("but after crashes at the same moment, one that crashes upstreams is sent twice more")
    {
        bool isCrashKnown = true;
        SUBCASE("and each crash is counted") {}
        SUBCASE("and no further crash is counted")
        {
            isCrashKnown = false;
        }
        for (const std::string upstream : {"a", "b", "c"})
            crash(Crashing, upstream, start);
        int sent = 0;
        for (int64_t ms = 0; ms < 590000; ms += 100) {
            const Instant at = start + milliseconds(ms);
            const auto decision = tracker.decide({Crashing, {}, {}}, at);
            if (decision.verdict == SuspectVerdict::Refused)
                continue;
            ++sent;
            tracker.recordProbes(decision.probes, at);
            if (isCrashKnown)
                crash(Crashing, "d" + std::to_string(sent), at + milliseconds(50));
        }
        CHECK(sent == 2);
    }
    SUBCASE("an upstream that restarts under its name is counted again")
    {
        for (int born = 1; born <= 3; ++born) {
            tracker.recordBreak({Crashing, {}, {}}, "a", "a@" + std::to_string(born), start, start);
            tracker.recordEnd("a", start);
        }
        CHECK(judge(tracker, Crashing, start) == SuspectVerdict::Refused);
    }
    SUBCASE("a request that ran beside it is cleared once an upstream has completed it")
    {
        for (const std::string upstream : {"a", "b"}) {
            tracker.recordBreak({Innocent, {}, {}}, upstream, upstream + "@1", start, start);
            crash(Crashing, upstream, start);
            CHECK(judge(tracker, Innocent, start) == SuspectVerdict::RunAlone);
            CHECK(tracker.recordCompletion(Innocent, start).size() == 1);
            CHECK(judge(tracker, Innocent, start) == SuspectVerdict::Unsuspected);
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
        CHECK(judge(peer, Crashing, later) == SuspectVerdict::Unsuspected);
        auto repeated = first;
        repeated.mutable_suspects(0)->set_remaining_ms(repeated.suspects(0).remaining_ms() - 1500);
        CHECK(peer.merge(repeated, start + milliseconds(1500)).empty());
        CHECK(judge(peer, Crashing, later) == SuspectVerdict::Unsuspected);
        const Instant again = start + std::chrono::seconds(2);
        CHECK(peer.merge(makeReport(crash(Crashing, "b", again)), again).size() == 1);
        cleared.mutable_suspects(0)->set_remaining_ms(cleared.suspects(0).remaining_ms() - 1000);
        CHECK(peer.merge(cleared, again).empty());
        CHECK(judge(peer, Crashing, again) == SuspectVerdict::RunAlone);
    }
    SUBCASE("an odd report leaves the table bounded")
    {
        proto::Suspect odd;
        odd.set_digest(Crashing);
        odd.set_crashes(4000000000u);
        odd.set_remaining_ms(4000000000u);
        for (int i = 0; i < 1000; ++i)
            odd.add_upstreams(std::to_string(i));
        tracker.merge(makeReport({odd}), start);
        CHECK(tracker.decide({Crashing, {}, {}}, start).retryAfter <=
              SuspectTable::SuspectLifetime);
        REQUIRE(tracker.recentChanges(start, true).size() == 1);
        CHECK(tracker.recentChanges(start, true)[0].upstreams_size() <=
              static_cast<int>(SuspectTable::MaxListedUpstreams));
    }
    SUBCASE("open cases are bounded")
    {
        for (uint64_t digest = 0; digest < 2 * CrashTracker::MaxOpenCases; ++digest)
            tracker.recordBreak({digest, {}, {}}, "a", "a@1", start, start);
        CHECK(tracker.recordEnd("a", start).size() <= CrashTracker::MaxOpenCases);
    }
}
TEST_CASE("A prompt part on which upstreams crash is refused, and the parts beside it are not")
{
    constexpr uint64_t First = 11;
    constexpr uint64_t Deadly = 12;
    constexpr uint64_t Session = 13;
    const Instant start{std::chrono::hours(1)};
    CrashTracker tracker;
    uint64_t requests = 100;
    int upstreams = 0;
    const auto identify = [&](std::vector<uint64_t> parts, std::vector<uint64_t> probes = {}) {
        return SuspectIdentity{++requests, std::move(parts), std::move(probes)};
    };
    /// Crashes an upstream on which these requests ran; returns what changed.
    const auto crash = [&](const std::vector<SuspectIdentity> &running, Instant sentAt,
                           Instant at) {
        const std::string upstream = std::to_string(++upstreams);
        for (const auto &request : running)
            tracker.recordBreak(request, upstream, upstream + "@1", sentAt, at);
        return tracker.recordEnd(upstream, at);
    };
    const auto judgeParts = [&](std::vector<uint64_t> parts, Instant at) {
        return tracker.decide(identify(std::move(parts)), at).verdict;
    };
    const auto after = [&](int64_t ms) { return start + milliseconds(ms); };

    SUBCASE("with a first part that is answered otherwise")
    {
        tracker.recordSoundAnswer({First}, start);
        for (int i = 0; i < 3; ++i) {
            CHECK(judgeParts({First, Deadly}, after(i * 200)) != SuspectVerdict::Refused);
            crash({identify({First, Deadly}), identify({First})}, after(i * 200 + 50),
                  after(i * 200 + 100));
            CHECK(judgeParts({First}, after(i * 200 + 100)) == SuspectVerdict::Unsuspected);
            tracker.recordSoundAnswer({First}, after(i * 200 + 150));
        }
        CHECK(judgeParts({First, Deadly}, after(600)) == SuspectVerdict::Refused);
        CHECK(judgeParts({Deadly, Session}, after(600)) == SuspectVerdict::Refused);
        CHECK(judgeParts({First, Session}, after(600)) == SuspectVerdict::Unsuspected);
    }
    SUBCASE("with a first part that was never answered, until one request tells them apart")
    {
        for (int i = 0; i < 3; ++i)
            crash({identify({First, Deadly})}, after(i * 200 + 50), after(i * 200 + 100));
        CHECK(judgeParts({First, Deadly}, after(600)) == SuspectVerdict::Refused);
        const auto decision = tracker.decide(identify({First}), after(600));
        CHECK(decision.verdict == SuspectVerdict::Probe);
        tracker.recordProbes(decision.probes, after(600));
        CHECK(judgeParts({First}, after(600)) == SuspectVerdict::Refused);
        tracker.recordSoundAnswer({First}, after(700));
        CHECK(judgeParts({First}, after(700)) == SuspectVerdict::Unsuspected);
        CHECK(judgeParts({First, Deadly}, after(700)) != SuspectVerdict::Unsuspected);
    }
    SUBCASE("with two parts that were never answered, until one request tells them apart")
    {
        constexpr uint64_t Second = 14;
        for (int i = 0; i < 6; ++i)
            crash({identify({First, Second, Deadly})}, start, after(i * 10));
        CHECK(judgeParts({First, Second, Deadly}, after(100)) == SuspectVerdict::Refused);
        const auto decision = tracker.decide(identify({First, Second}), after(100));
        REQUIRE(decision.verdict == SuspectVerdict::Probe);
        tracker.recordProbes(decision.probes, after(100));
        CHECK(judgeParts({First, Second}, after(150)) == SuspectVerdict::Refused);
        tracker.recordSoundAnswer({First, Second}, after(200));
        CHECK(judgeParts({First, Second}, after(200)) == SuspectVerdict::Unsuspected);
        CHECK(judgeParts({First, Second, Deadly}, after(200)) != SuspectVerdict::Unsuspected);
    }
    SUBCASE("with two parts whose requests crash without it, too, but once")
    {
        constexpr uint64_t Second = 14;
        for (int i = 0; i < 6; ++i)
            crash({identify({First, Second, Deadly})}, start, after(i * 10));
        int probes = 0;
        for (int64_t ms = 100; ms < 29000; ms += 100) {
            auto request = identify({Second, Deadly});
            const auto decision = tracker.decide(request, after(ms));
            if (decision.verdict != SuspectVerdict::Probe)
                continue;
            ++probes;
            tracker.recordProbes(decision.probes, after(ms));
            request.probes = decision.probes;
            crash({request}, after(ms), after(ms + 50));
        }
        CHECK(probes == 1);
    }
    SUBCASE("and a trusted part that is missing tells nothing apart")
    {
        constexpr uint64_t Second = 14;
        tracker.recordSoundAnswer({First}, start);
        for (int i = 0; i < 6; ++i)
            crash({identify({First, Second, Deadly})}, start, after(i * 10));
        CHECK(judgeParts({Second, Deadly}, after(200)) == SuspectVerdict::Refused);
    }
    SUBCASE("two gateways send one request that tells parts apart, the first in order")
    {
        constexpr uint64_t Second = 14;
        // The order of the parts differs, that of the request must not.
        CrashTracker front([](uint64_t digest) { return size_t{digest == First ? 0u : 1u}; });
        CrashTracker peer([](uint64_t digest) { return size_t{digest == First ? 1u : 0u}; });
        for (int i = 0; i < 6; ++i) {
            const auto report =
                makeReport(crash({identify({First, Second, Deadly})}, start, after(i * 10)));
            front.merge(report, after(i * 10));
            peer.merge(report, after(i * 10));
        }
        const auto decision = front.decide(identify({Second, First}), after(100));
        REQUIRE(decision.verdict == SuspectVerdict::Probe);
        CHECK(peer.decide(identify({First, Second}), after(100)).verdict ==
              SuspectVerdict::Refused);
        peer.merge(makeReport(front.recordProbes(decision.probes, after(100))), after(100));
        CHECK(peer.decide(identify({First, Second}), after(700)).verdict ==
              SuspectVerdict::Refused);
    }
    SUBCASE("one that is alone is let through at once, but after its crash not for long")
    {
        for (int i = 0; i < 3; ++i)
            crash({identify({First, Deadly})}, after(i * 200 + 50), after(i * 200 + 100));
        const auto decision = tracker.decide(identify({Deadly}), after(600));
        REQUIRE(decision.probes == std::vector<uint64_t>{Deadly});
        tracker.recordProbes(decision.probes, after(600));
        crash({identify({Deadly}, decision.probes)}, after(600), after(700));
        CHECK(judgeParts({Deadly}, after(700 + 29000)) == SuspectVerdict::Refused);
        CHECK(judgeParts({Deadly}, after(700 + 30000)) == SuspectVerdict::Probe);
    }
    SUBCASE("and no part is after many upstreams have ended at the same time")
    {
        tracker.recordSoundAnswer({First}, start);
        for (int i = 0; i < 30; ++i)
            crash({identify({First})}, start, after(i));
        CHECK(judgeParts({First}, after(30)) == SuspectVerdict::Unsuspected);
    }
    SUBCASE("also when it crashes several upstreams before the news has spread")
    {
        for (uint32_t i = 0; i < CrashTracker::MaxPartCrashes; ++i)
            crash({identify({Deadly})}, start, after(static_cast<int>(i)));
        CHECK(judgeParts({Deadly}, after(10)) == SuspectVerdict::Refused);
    }
    SUBCASE("also long after it was sound, and until it is sound again")
    {
        tracker.recordSoundAnswer({Deadly}, start);
        for (int i = 0; i < 6; ++i)
            crash({identify({Deadly})}, after(i * 200 + 50), after(i * 200 + 100));
        CHECK(judgeParts({Deadly}, after(1200)) == SuspectVerdict::Refused);
        tracker.recordSoundAnswer({Deadly}, after(1300));
        CHECK(judgeParts({Deadly}, after(1300)) == SuspectVerdict::Unsuspected);
    }
    SUBCASE("an answer that had been arriving for long says nothing against its parts")
    {
        CHECK(crash({identify({})}, start, after(100)).size() == 1);
        CHECK(judgeParts({Session}, after(100)) == SuspectVerdict::Unsuspected);
    }
    SUBCASE("probes are rare, and the suspicion ends")
    {
        for (int i = 0; i < 3; ++i)
            crash({identify({Deadly})}, after(i * 200 + 50), after(i * 200 + 100));
        int probes = 0;
        for (int64_t ms = 600; ms < 60000; ms += 100) {
            const auto decision = tracker.decide(identify({Deadly}), after(ms));
            if (decision.verdict != SuspectVerdict::Probe)
                continue;
            ++probes;
            tracker.recordProbes(decision.probes, after(ms));
            crash({identify({Deadly}, decision.probes)}, after(ms), after(ms + 100));
        }
        CHECK(probes == 2);
        tracker.expire(after(0) + 2 * SuspectTable::SuspectLifetime);
        CHECK(judgeParts({Deadly}, after(0) + 2 * SuspectTable::SuspectLifetime) ==
              SuspectVerdict::Unsuspected);
    }
    SUBCASE("other processes leave the probe to the first in order, and hear of it")
    {
        CrashTracker second([](uint64_t) { return size_t{1}; });
        for (int i = 0; i < 3; ++i)
            second.merge(
                makeReport(crash({identify({Deadly})}, after(i * 200 + 50), after(i * 200 + 100))),
                after(i * 200 + 100));
        const Instant due = after(500) + SuspectTable::ProbeDelay;
        CHECK(tracker.decide(identify({Deadly}), due).verdict == SuspectVerdict::Probe);
        CHECK(second.decide(identify({Deadly}), due).verdict == SuspectVerdict::Refused);
        second.merge(makeReport(tracker.recordProbes({Deadly}, due)), due);
        CHECK(second.decide(identify({Deadly}), due + std::chrono::seconds(5)).verdict ==
              SuspectVerdict::Refused);
    }
    SUBCASE("thousands of further suspects evict no confirmed one")
    {
        for (int i = 0; i < 3; ++i)
            crash({identify({Deadly})}, after(i * 200 + 50), after(i * 200 + 100));
        for (uint64_t part = 1000; part < 6000; part += 10)
            crash({identify({part, part + 1, part + 2, part + 3, part + 4})}, after(700),
                  after(800));
        CHECK(judgeParts({Deadly}, after(900)) == SuspectVerdict::Refused);
        CHECK(tracker.recentChanges(after(900), true).size() <= SuspectTable::MaxSuspects);
        CHECK(tracker.takeNextConfirmed(40, after(900)).size() == 1);
    }
    SUBCASE("a process whose only news is the repeated one refuses it too")
    {
        for (uint32_t i = 0; i < CrashTracker::MaxPartCrashes; ++i)
            crash({identify({Deadly})}, start, after(static_cast<int>(i)));
        CrashTracker late;
        late.merge(makeReport(tracker.takeNextConfirmed(40, after(9000))), after(9000));
        CHECK(late.decide(identify({Deadly}), after(9000)).verdict == SuspectVerdict::Refused);
    }
}
