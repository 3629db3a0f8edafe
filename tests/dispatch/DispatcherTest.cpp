// Choice of upstreams by loads, models, distance and health.
#include "dispatch/Dispatcher.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

UpstreamEntry engineNamed(const std::string &id, const std::string &dataCentre = "near")
{
    UpstreamEntry entry;
    entry.id = id;
    entry.service = "llm";
    entry.address = {"10.0.0.1", 80};
    entry.dataCentre = dataCentre;
    entry.slots = 64;
    entry.startedAtMs = 1;
    entry.models = {{"m1", {"a1"}}};
    return entry;
}

proto::EngineSnapshot snapshotOf(const std::string &id)
{
    proto::EngineSnapshot snapshot;
    snapshot.set_upstream_id(id);
    snapshot.set_born_ms(1);
    snapshot.add_models()->set_name("m1");
    snapshot.mutable_models(0)->add_adapters("a1");
    snapshot.set_can_order(true);
    return snapshot;
}

Proximity proximityOf(const std::string &dataCentre)
{
    if (dataCentre == "near")
        return Proximity::SameDataCentre;
    return dataCentre == "beside" ? Proximity::SameRegion : Proximity::OtherRegion;
}

DispatchQuery queryOf(const std::string &adapter = "")
{
    DispatchQuery query;
    query.service = "llm";
    query.model = "m1";
    query.adapter = adapter;
    query.promptTokens = 1500;
    return query;
}

std::string chosen(const Dispatcher &dispatcher, const DispatchQuery &query, Instant now)
{
    const auto choice = dispatcher.choose(query, now);
    const auto *target = std::get_if<DispatchTarget>(&choice);
    return target == nullptr ? "" : target->upstreamId;
}

} // namespace

TEST_CASE("A stream is continued only by engines of the software version that began it")
{
    Dispatcher dispatcher(proximityOf);
    auto older = engineNamed("older");
    older.softwareVersion = "v1";
    auto newer = engineNamed("newer");
    newer.softwareVersion = "v2";
    dispatcher.setUpstreams({{"newer", newer}, {"older", older}});
    auto query = queryOf();
    query.softwareVersion = "v2";
    const auto refusalOf = [&] {
        const auto choice = dispatcher.choose(query, Start);
        REQUIRE(std::holds_alternative<DispatchRefusal>(choice));
        return std::get<DispatchRefusal>(choice);
    };

    SUBCASE("by the only one that fits")
    {
        CHECK(chosen(dispatcher, query, Start) == "newer");
        query.softwareVersion = "v1";
        CHECK(chosen(dispatcher, query, Start) == "older");
    }
    SUBCASE("one that has restarted without the model may load it again")
    {
        newer.models.clear();
        dispatcher.setUpstreams({{"newer", newer}, {"older", older}});
        CHECK(refusalOf().kind == ErrorKind::NoReplica);
        CHECK(refusalOf().readyIn);
    }
    SUBCASE("not by one whose steward reports a later incarnation than the list")
    {
        auto later = snapshotOf("newer");
        later.set_born_ms(2);
        dispatcher.noteSnapshot(later, Start);
        CHECK(dispatcher.isIncarnationDoubtful("newer"));
        CHECK(refusalOf().kind == ErrorKind::CannotContinue);
        // The list has the new incarnation, with its version.
        newer.startedAtMs = 2;
        dispatcher.setUpstreams({{"newer", newer}, {"older", older}});
        CHECK_FALSE(dispatcher.isIncarnationDoubtful("newer"));
        CHECK(chosen(dispatcher, query, Start) == "newer");
    }
    SUBCASE("a load of the model at another version does not count")
    {
        newer.models.clear();
        older.models.clear();
        dispatcher.setUpstreams({{"newer", newer}, {"older", older}});
        auto loading = snapshotOf("older");
        loading.mutable_models()->Clear();
        loading.set_loading("m1");
        loading.set_loading_left_ms(300);
        dispatcher.noteSnapshot(loading, Start);
        CHECK(*refusalOf().readyIn > std::chrono::seconds(1));
    }
    SUBCASE("if all of them are gone, leave, or have broken off the stream, none will")
    {
        SUBCASE("gone")
        {
            dispatcher.setUpstreams({{"older", older}});
        }
        SUBCASE("leaving")
        {
            newer.phase = UpstreamPhase::Draining;
            dispatcher.setUpstreams({{"newer", newer}, {"older", older}});
        }
        SUBCASE("tried")
        {
            query.tried.insert("newer");
        }
        CHECK(refusalOf().kind == ErrorKind::CannotContinue);
        CHECK_FALSE(refusalOf().readyIn);
    }
}

TEST_CASE("A model request goes to an engine that holds the model")
{
    Dispatcher dispatcher(proximityOf);
    auto other = engineNamed("other");
    other.models = {{"m2", {}}};
    dispatcher.setUpstreams({{"a", engineNamed("a")}, {"other", other}});
    CHECK(chosen(dispatcher, queryOf(), Start) == "a");

    SUBCASE("an engine that takes none now delays a request no longer than a load elsewhere")
    {
        AnswerDirectives directives;
        directives.limitPerSecond = 0;
        dispatcher.directives().noteAnswer("a", 1, directives, true, Start);
        auto choice = dispatcher.choose(queryOf(), Start);
        REQUIRE(std::holds_alternative<DispatchRefusal>(choice));
        // Other instances may have a share of the limit.
        CHECK(std::get<DispatchRefusal>(choice).retryAfter <= std::chrono::seconds(3));
        proto::EngineSnapshot snapshot = snapshotOf("other");
        snapshot.clear_models();
        snapshot.set_loading("m1");
        snapshot.set_loading_left_ms(1700);
        dispatcher.noteSnapshot(snapshot, Start);
        choice = dispatcher.choose(queryOf(), Start);
        REQUIRE(std::holds_alternative<DispatchRefusal>(choice));
        const auto &refusal = std::get<DispatchRefusal>(choice);
        CHECK(refusal.forbiddenBy == DirectiveKind::None);
        REQUIRE(refusal.readyIn);
        CHECK(*refusal.readyIn <= std::chrono::seconds(2));
    }
    SUBCASE("a draining engine gets no requests, whether the list or its snapshot says so")
    {
        auto leaving = engineNamed("a");
        leaving.phase = UpstreamPhase::Draining;
        dispatcher.setUpstreams({{"a", leaving}});
        CHECK(chosen(dispatcher, queryOf(), Start).empty());
        dispatcher.setUpstreams({{"a", engineNamed("a")}});
        auto snapshot = snapshotOf("a");
        snapshot.set_leaving(true);
        dispatcher.noteSnapshot(snapshot, Start);
        CHECK(chosen(dispatcher, queryOf(), Start).empty());
    }
    SUBCASE("a refusal has a retry delay")
    {
        auto query = queryOf();
        query.model = "m9";
        const auto choice = dispatcher.choose(query, Start);
        const auto *refusal = std::get_if<DispatchRefusal>(&choice);
        REQUIRE(refusal != nullptr);
        CHECK(refusal->retryAfter > Duration::zero());
    }
    SUBCASE("a snapshot of an earlier incarnation with the same identity is ignored")
    {
        auto snapshot = snapshotOf("a");
        snapshot.set_born_ms(77);
        snapshot.clear_models();
        dispatcher.noteSnapshot(snapshot, Start);
        CHECK(chosen(dispatcher, queryOf(), Start) == "a");
    }
    SUBCASE("an engine that answered that it lacks the model is not chosen again")
    {
        dispatcher.noteModelMissing("a", "m1", "", Start);
        CHECK(chosen(dispatcher, queryOf(), Start).empty());
    }
    SUBCASE("after a restart that the list does not show")
    {
        // All processes were lost; the list is unchanged and the steward sends no snapshots yet.
        auto entry = engineNamed("a");
        entry.models = {{"m1", {"a1"}}, {"m2", {}}};
        dispatcher.setUpstreams({{"a", entry}});
        dispatcher.noteModelMissing("a", "m1", "a1", Start);
        auto other = queryOf();
        other.model = "m2";

        SUBCASE("the other models of the list entry are ignored too")
        {
            CHECK(chosen(dispatcher, other, Start).empty());
            // The list is read again, unchanged.
            dispatcher.setUpstreams({{"a", entry}});
            CHECK(chosen(dispatcher, queryOf(), Start).empty());
        }
        SUBCASE("until the engine's list entry changes")
        {
            entry.models = {{"m2", {}}};
            dispatcher.setUpstreams({{"a", entry}});
            CHECK(chosen(dispatcher, other, Start) == "a");
        }
        SUBCASE("or until its steward sends a snapshot, which also sets the retry delay")
        {
            auto snapshot = snapshotOf("a");
            snapshot.mutable_models()->Clear();
            snapshot.set_loading("m1");
            snapshot.set_loading_left_ms(1700);
            dispatcher.noteSnapshot(snapshot, Start);
            CHECK(dispatcher.retryForMissing(queryOf(), Start) == milliseconds(2000));
            dispatcher.noteSnapshot(snapshotOf("a"), Start + milliseconds(100));
            CHECK(chosen(dispatcher, queryOf(), Start + milliseconds(100)) == "a");
        }
        SUBCASE("and for a few seconds at most")
        {
            CHECK(chosen(dispatcher, other, Start + Dispatcher::ListDistrustTime) == "a");
        }
    }
    SUBCASE("a failed connection causes a backoff, which ends")
    {
        const auto ticket = dispatcher.beginAttempt("a", queryOf(), Start);
        dispatcher.endAttempt("a", ticket, AttemptOutcome::Unreachable, Start);
        CHECK(chosen(dispatcher, queryOf(), Start).empty());
        CHECK(chosen(dispatcher, queryOf(), Start + UpstreamHealth::MaxBackoff) == "a");
    }
}

TEST_CASE("A missing adapter is requested from an engine that can take the order")
{
    Dispatcher dispatcher(proximityOf);
    dispatcher.setUpstreams({{"a", engineNamed("a")}});
    SUBCASE("without a snapshot only adapters of the list entry can be used")
    {
        CHECK(chosen(dispatcher, queryOf("a1"), Start) == "a");
        CHECK(chosen(dispatcher, queryOf("a2"), Start).empty());
    }
    SUBCASE("the steward can order")
    {
        dispatcher.noteSnapshot(snapshotOf("a"), Start);
        const auto choice = dispatcher.choose(queryOf("a2"), Start);
        REQUIRE(std::holds_alternative<DispatchTarget>(choice));
        CHECK(std::get<DispatchTarget>(choice).needsAdapter);
    }
    SUBCASE("an engine that loads a model takes no order for an adapter")
    {
        auto snapshot = snapshotOf("a");
        snapshot.set_busy(true);
        dispatcher.noteSnapshot(snapshot, Start);
        CHECK(chosen(dispatcher, queryOf("a1"), Start) == "a");
        CHECK(chosen(dispatcher, queryOf("a2"), Start).empty());
    }
}

TEST_CASE("Requests stay in the data centre unless its engines are much busier")
{
    Dispatcher dispatcher(proximityOf);
    dispatcher.setUpstreams({{"far", engineNamed("far", "away")},
                             {"mid", engineNamed("mid", "beside")},
                             {"near", engineNamed("near")}});
    CHECK(chosen(dispatcher, queryOf(), Start) == "near");
    auto busy = snapshotOf("near");
    busy.set_waiting(2);
    dispatcher.noteSnapshot(busy, Start);
    CHECK(chosen(dispatcher, queryOf(), Start) == "mid");
}

TEST_CASE("Long prompts are sent to an engine one at a time")
{
    Dispatcher dispatcher(proximityOf);
    dispatcher.setUpstreams({{"a", engineNamed("a")}});
    auto query = queryOf();
    query.promptTokens = 2000;
    const auto first = dispatcher.beginAttempt("a", query, Start);
    CHECK(std::holds_alternative<DispatchWait>(dispatcher.choose(query, Start)));
    SUBCASE("the next one is sent once the first is prefilled")
    {
        dispatcher.noteFirstAnswer("a", first);
        CHECK(chosen(dispatcher, query, Start) == "a");
    }
    SUBCASE("fast models take several concurrently")
    {
        dispatcher.prefillTimes().addSample("m1", 2000, 20);
        CHECK(chosen(dispatcher, query, Start) == "a");
    }
    SUBCASE("the attempt ends without an answer")
    {
        dispatcher.endAttempt("a", first, AttemptOutcome::Broken, Start);
        CHECK(chosen(dispatcher, query, Start) == "a");
    }
}

TEST_CASE("An engine that hangs is avoided before its first request has ended")
{
    Dispatcher dispatcher(proximityOf);
    dispatcher.setUpstreams({{"hung", engineNamed("hung")}, {"well", engineNamed("well", "away")}});
    dispatcher.prefillTimes().addSample("m1", 2000, 20);
    CHECK(chosen(dispatcher, queryOf(), Start) == "hung");
    const auto ticket = dispatcher.beginAttempt("hung", queryOf(), Start);
    const Instant later = Start + std::chrono::seconds(3);
    CHECK(chosen(dispatcher, queryOf(), later) == "well");
    SUBCASE("a caller that leaves an overdue request counts as a failure of the engine")
    {
        dispatcher.endAttempt("hung", ticket, AttemptOutcome::Abandoned, later);
        CHECK(chosen(dispatcher, queryOf(), later) == "well");
    }
}

TEST_CASE("Requests for a service without models go where slots are free")
{
    Dispatcher dispatcher(proximityOf);
    std::map<std::string, UpstreamEntry> entries;
    for (const auto *id : {"near", "mid"}) {
        auto entry = engineNamed(id, id == std::string("near") ? "near" : "beside");
        entry.service = "shop";
        entry.slots = 2;
        entry.models.clear();
        entries.emplace(id, entry);
    }
    dispatcher.setUpstreams(entries);
    DispatchQuery query;
    query.service = "shop";
    CHECK(chosen(dispatcher, query, Start) == "near");
    for (int i = 0; i < 4; ++i)
        dispatcher.beginAttempt("near", query, Start);
    CHECK(chosen(dispatcher, query, Start) == "mid");
    query.tried = {"mid"};
    CHECK(chosen(dispatcher, query, Start) == "near");
}

TEST_CASE("Snapshots of an engine in another region are received once it was chosen")
{
    Dispatcher dispatcher(proximityOf);
    std::map<std::string, UpstreamEntry> entries{{"a", engineNamed("a", "near")},
                                                 {"b", engineNamed("b", "beside")},
                                                 {"far", engineNamed("far", "away")}};
    dispatcher.setUpstreams(entries);
    // There are few engines in other regions: the snapshots of all of them are received.
    CHECK(dispatcher.wantsSnapshots("far", Start));
    auto other = engineNamed("other", "away");
    other.models = {{"m2", {}}};
    for (size_t i = 0; i < Dispatcher::MaxRemoteUpstreams; ++i) {
        other.id = "other" + std::to_string(i);
        entries[other.id] = other;
    }
    dispatcher.setUpstreams(entries);
    CHECK(dispatcher.wantsSnapshots("a", Start));
    CHECK(dispatcher.wantsSnapshots("b", Start));
    CHECK_FALSE(dispatcher.wantsSnapshots("far", Start));

    SUBCASE("and for a limited time")
    {
        dispatcher.noteChosen("far", Start);
        CHECK(dispatcher.wantsSnapshots("far", Start + Dispatcher::SnapshotInterestTime -
                                                   milliseconds(1)));
        CHECK_FALSE(dispatcher.wantsSnapshots("far", Start + Dispatcher::SnapshotInterestTime));
    }
    SUBCASE("until then its steward is assumed to be able to load an adapter")
    {
        entries.erase("a");
        entries.erase("b");
        dispatcher.setUpstreams(entries);
        CHECK(chosen(dispatcher, queryOf("a9"), Start) == "far");
        dispatcher.noteChosen("far", Start);
        CHECK(chosen(dispatcher, queryOf("a9"), Start).empty());
        dispatcher.noteSnapshot(snapshotOf("far"), Start);
        CHECK(chosen(dispatcher, queryOf("a9"), Start) == "far");
    }
}

TEST_CASE("An upstream that refused connections is doubted until a new start would be listed")
{
    Dispatcher dispatcher([](const std::string &) { return Proximity::SameDataCentre; });
    auto engine = engineNamed("one");
    engine.softwareVersion = "v1";
    engine.startedAtMs = 7;
    dispatcher.setUpstreams({{"one", engine}});
    SUBCASE("unless the refusal was of another incarnation")
    {
        CHECK_FALSE(dispatcher.noteRefusal("one", 6, Start));
        CHECK_FALSE(dispatcher.isIncarnationDoubtful("one"));
        return;
    }
    CHECK(dispatcher.noteRefusal("one", 7, Start));
    CHECK_FALSE(dispatcher.noteRefusal("one", 7, Start));
    CHECK(dispatcher.isIncarnationDoubtful("one"));
    CHECK(dispatcher.hasDoubtfulIncarnation(engine.service));
    CHECK_FALSE(dispatcher.hasDoubtfulIncarnation("other"));
    CHECK_FALSE(dispatcher.hasVersion("one", "v1"));
    CHECK(dispatcher.hasVersion("one", std::nullopt));
    SUBCASE("as of the list, not as of the time at which it was read")
    {
        dispatcher.endDoubts(Start + Dispatcher::StartListingTime - milliseconds(1));
        CHECK(dispatcher.isIncarnationDoubtful("one"));
        dispatcher.endDoubts(Start + Dispatcher::StartListingTime);
        CHECK_FALSE(dispatcher.isIncarnationDoubtful("one"));
    }
    SUBCASE("or until it is listed")
    {
        engine.startedAtMs = 8;
        dispatcher.setUpstreams({{"one", engine}});
        CHECK_FALSE(dispatcher.isIncarnationDoubtful("one"));
    }
}

// Guards against streams that are cut because their upstream has restarted after they began.
TEST_CASE("An answer is known to be of the incarnation that ran after it had begun")
{
    Dispatcher dispatcher(proximityOf);
    auto engine = engineNamed("one");
    engine.startedAtMs = 7;
    const auto restart = [&](uint64_t startedAtMs) {
        engine.startedAtMs = startedAtMs;
        dispatcher.setUpstreams({{"one", engine}});
    };
    restart(7);
    const Instant begunAt = Start + milliseconds(500);
    CHECK_FALSE(dispatcher.isAnswerOf("one", 7, begunAt));

    SUBCASE("as its steward reported")
    {
        dispatcher.noteRunning("one", 7, begunAt - milliseconds(1));
        CHECK_FALSE(dispatcher.isAnswerOf("one", 7, begunAt));
        dispatcher.noteRunning("one", 7, begunAt);
        CHECK(dispatcher.isAnswerOf("one", 7, begunAt));
    }
    SUBCASE("but not by a report of another incarnation, or of one without a start time")
    {
        dispatcher.noteRunning("one", 8, begunAt);
        dispatcher.noteRunning("one", 0, begunAt);
        CHECK_FALSE(dispatcher.isAnswerOf("one", 7, begunAt));
        CHECK_FALSE(dispatcher.isAnswerOf("one", 0, begunAt));
        return;
    }
    SUBCASE("as the list would show a later start")
    {
        dispatcher.endDoubts(begunAt + Dispatcher::StartListingTime);
        // The changes of this list are not applied yet.
        CHECK_FALSE(dispatcher.isAnswerOf("one", 7, begunAt));
        dispatcher.endDoubts(begunAt + Dispatcher::StartListingTime);
        CHECK(dispatcher.isAnswerOf("one", 7, begunAt));
    }
    restart(8);
    CHECK(dispatcher.isAnswerOf("one", 7, begunAt));
    CHECK_FALSE(dispatcher.isAnswerOf("one", 7, begunAt + milliseconds(1)));
    CHECK_FALSE(dispatcher.isAnswerOf("one", 8, begunAt));
    restart(9);
    CHECK_FALSE(dispatcher.isAnswerOf("one", 7, begunAt));
}

TEST_CASE("Stewards admit requests only at engines of services that report their pace")
{
    Dispatcher dispatcher(proximityOf);
    auto other = engineNamed("e2");
    other.service = "plain";
    dispatcher.setUpstreams({{"e1", engineNamed("e1")}, {"e2", other}});
    dispatcher.noteSnapshot(snapshotOf("e1"), Start);
    dispatcher.notePace("e1", 0, Start);
    CHECK_FALSE(dispatcher.reportsPace("llm"));
    CHECK_FALSE(dispatcher.usesAdmission("e1", Start));
    // The engine has a prompt to read, so this gateway would keep further ones.
    const auto ticket = dispatcher.beginAttempt("e1", queryOf(), Start);
    REQUIRE(std::holds_alternative<DispatchWait>(dispatcher.choose(queryOf(), Start)));

    SUBCASE("by a snapshot")
    {
        auto snapshot = snapshotOf("e1");
        snapshot.set_pace_percent(100);
        dispatcher.noteSnapshot(snapshot, Start);
    }
    SUBCASE("by an answer")
    {
        dispatcher.notePace("e1", 160, Start);
    }
    CHECK(dispatcher.reportsPace("llm"));
    CHECK_FALSE(dispatcher.reportsPace("plain"));
    CHECK(dispatcher.usesAdmission("e1", Start));
    CHECK_FALSE(dispatcher.usesAdmission("e2", Start));
    CHECK_FALSE(dispatcher.usesAdmission("e3", Start));
    // The steward limits the prompts of all gateways instead.
    CHECK(chosen(dispatcher, queryOf(), Start) == "e1");

    // A silent steward is not asked for a while, and this gateway's own limit holds meanwhile.
    dispatcher.noteSilentSteward("e1", Start);
    const Instant later = Start + Dispatcher::SilentStewardTime;
    CHECK_FALSE(dispatcher.usesAdmission("e1", later - milliseconds(1)));
    CHECK(std::holds_alternative<DispatchWait>(dispatcher.choose(queryOf(), Start)));
    CHECK(dispatcher.usesAdmission("e1", later));
    dispatcher.endAttempt("e1", ticket, AttemptOutcome::Answered, later);
}

TEST_CASE("Requests that wait for admission at an engine count for the choice of later ones")
{
    Dispatcher dispatcher(proximityOf);
    dispatcher.setUpstreams({{"e1", engineNamed("e1")}, {"e2", engineNamed("e2")}});
    dispatcher.notePace("e1", 100, Start);
    const std::string best = chosen(dispatcher, queryOf(), Start);
    const std::string other = best == "e1" ? "e2" : "e1";
    dispatcher.beginAdmission(best, 1500);
    CHECK(chosen(dispatcher, queryOf(), Start) == other);
    dispatcher.endAdmission(best, 1500);
    CHECK(chosen(dispatcher, queryOf(), Start) == best);
}

TEST_CASE("The wait for admission at an engine counts for the choice")
{
    // Guards against requests that queue at one steward while another engine is free, and against
    // requests that go from queue to queue for nothing.
    Dispatcher dispatcher(proximityOf);
    dispatcher.setUpstreams({{"e1", engineNamed("e1")}, {"e2", engineNamed("e2")}});
    const auto describe = [&](const std::string &id, uint32_t waitMs) {
        auto snapshot = snapshotOf(id);
        snapshot.set_pace_percent(100);
        snapshot.set_admission_wait_ms(waitMs);
        dispatcher.noteSnapshot(snapshot, Start);
    };
    describe("e1", 0);
    describe("e2", 0);
    const std::string best = chosen(dispatcher, queryOf(), Start);
    const std::string other = best == "e1" ? "e2" : "e1";

    SUBCASE("as a snapshot tells it, less the time since")
    {
        describe(best, 400);
        CHECK(chosen(dispatcher, queryOf(), Start) == other);
        CHECK(chosen(dispatcher, queryOf(), Start + milliseconds(390)) == best);
    }
    SUBCASE("as a reply tells it, until a later snapshot")
    {
        dispatcher.noteAdmissionWait(best, milliseconds(400), Start);
        CHECK(chosen(dispatcher, queryOf(), Start) == other);
        describe(best, 0);
        CHECK(chosen(dispatcher, queryOf(), Start) == best);
    }
    SUBCASE("a very long wait is remembered for a while only")
    {
        dispatcher.noteAdmissionWait(best, milliseconds(UINT32_MAX), Start);
        CHECK(chosen(dispatcher, queryOf(), Start) == other);
        CHECK(chosen(dispatcher, queryOf(), Start + std::chrono::seconds(2)) == best);
    }
    SUBCASE("also one that a snapshot has told, whose steward is then lost")
    {
        describe(best, 60000);
        CHECK(chosen(dispatcher, queryOf(), Start) == other);
        CHECK(chosen(dispatcher, queryOf(), Start + std::chrono::seconds(2)) == best);
    }
    SUBCASE("not at a steward that is not asked")
    {
        dispatcher.noteAdmissionWait(best, milliseconds(400), Start);
        dispatcher.noteSilentSteward(best, Start);
        CHECK(chosen(dispatcher, queryOf(), Start) == best);
    }
    SUBCASE("a queued request moves to an engine that answers clearly sooner")
    {
        CHECK(dispatcher.isFasterElsewhere(best, milliseconds(400), queryOf(), Start));
        CHECK_FALSE(dispatcher.isFasterElsewhere(best, milliseconds(60), queryOf(), Start));
        describe(other, 350);
        CHECK_FALSE(dispatcher.isFasterElsewhere(best, milliseconds(400), queryOf(), Start));
    }
    SUBCASE("and stays if there is no other engine")
    {
        auto query = queryOf();
        query.tried.insert(other);
        CHECK_FALSE(dispatcher.isFasterElsewhere(best, milliseconds(400), query, Start));
    }
    SUBCASE("an engine that has left the list is left at once")
    {
        CHECK(dispatcher.isFasterElsewhere("gone", milliseconds(0), queryOf(), Start));
    }
}

TEST_CASE("Client accounts make requests ask for admission at engines that report no pace")
{
    // Guards against accounts that compete for engines without the stewards' fair order, and
    // against streams that pause because each gateway sends prompts without knowing of the others.
    Dispatcher dispatcher(proximityOf);
    dispatcher.setUpstreams({{"e1", engineNamed("e1")}});
    dispatcher.noteSnapshot(snapshotOf("e1"), Start);
    CHECK_FALSE(dispatcher.usesAdmission("e1", Start));
    dispatcher.setHasAccounts(true);
    CHECK(dispatcher.usesAdmission("e1", Start));
    CHECK_FALSE(dispatcher.reportsPace("llm"));
    // A later configuration has none.
    dispatcher.setHasAccounts(false);
    CHECK_FALSE(dispatcher.usesAdmission("e1", Start));
}
