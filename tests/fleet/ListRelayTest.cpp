// The shared reader of the instance list, simulated without sockets or clocks. Guards against reads
// that grow with the number of instances, against missed changes when updates are lost or the
// reader hangs or loses the store, and against late updates that revive a removed upstream.
#include "fleet/ListRelay.h"

#include <doctest/doctest.h>
#include <memory>

using namespace tray;

namespace {

constexpr Duration Step = milliseconds(20);
// Time after which a call is given up, beyond the time for which it may wait.
constexpr Duration CallTimeout = milliseconds(1500);
// Shortest time within which requests to a leaving engine must stop.
constexpr Duration DrainTime = std::chrono::seconds(3);
// Delay of a reader's next read after changes.
constexpr Duration ReaderReadDelay = milliseconds(400);

UpstreamEntry makeEntry(int id, uint64_t sequence)
{
    UpstreamEntry entry;
    entry.id = "e" + std::to_string(id);
    entry.service = "llm";
    entry.address = {"10.0.0.1", 80};
    entry.dataCentre = "dc";
    entry.sequence = sequence;
    entry.models = {{"m1", {"a1"}}, {"m2", {}}};
    return entry;
}

/// An entry so large that only two of them fit into one update.
UpstreamEntry makeLargeEntry(int id, uint64_t sequence)
{
    auto entry = makeEntry(id, sequence);
    entry.models = {{std::string(ListRelay::MaxChangeBytes / 2 - 200, 'm'), {}}};
    return entry;
}

/// The instances of one data centre and a store whose list changes all the time.
class DataCentre
{
public:
    /// All but the given number of instances have a low CPU share. The timeouts of an instance
    /// depend on its name.
    explicit DataCentre(int instances, int strong = 3, int firstName = 0)
    {
        for (int i = 0; i < instances; ++i) {
            auto &row = this->members.emplace_back();
            const std::string name = "front-" + std::to_string(firstName + i);
            row.relay = std::make_unique<ListRelay>(name, i < strong ? 0.5 : 0.09);
        }
    }

    struct Instance
    {
        std::unique_ptr<ListRelay> relay;
        std::map<std::string, UpstreamEntry> list;
        Instant readAt{};
        bool storeUnreachable = false;
        /// Calls to the store get no answer and are given up late.
        bool storeSilent = false;
        bool frozen = false;
        int reads = 0;
    };

    void run(Duration duration)
    {
        for (const Instant end = this->now + duration; this->now < end; this->now += Step) {
            if (this->changing && ++this->tick % 5 == 0)
                this->change(static_cast<int>(this->revision % 180));
            for (auto &row : this->members)
                this->runInstance(row);
        }
    }

    void change(int id) { this->history.push_back({false, makeEntry(id, ++this->revision)}); }

    void remove(int id)
    {
        ++this->revision;
        UpstreamChange change;
        change.removed = true;
        change.entry = makeEntry(id, this->revision);
        this->history.push_back(change);
    }

    int countReaders() const
    {
        int count = 0;
        for (const auto &row : this->members)
            count += row.relay->isReader() ? 1 : 0;
        return count;
    }

    Instance &reader()
    {
        for (auto &row : this->members) {
            if (row.relay->isReader())
                return row;
        }
        return this->members.front();
    }

    int totalReads() const
    {
        int count = 0;
        for (const auto &row : this->members)
            count += row.reads;
        return count;
    }

    /// Whether every instance that is not frozen has the latest list.
    bool areAllUpToDate() const
    {
        std::map<std::string, uint64_t> expected;
        for (const auto &change : this->history) {
            if (change.removed)
                expected.erase(change.entry.id);
            else
                expected[change.entry.id] = change.entry.sequence;
        }
        for (const auto &row : this->members) {
            if (row.frozen)
                continue;
            std::map<std::string, uint64_t> known;
            for (const auto &[id, entry] : row.list)
                known[id] = entry.sequence;
            if (known != expected)
                return false;
        }
        return true;
    }

    std::vector<Instance> members;
    Instant now{std::chrono::hours(1)};
    bool changing = true;
    /// Updates that announce the end of a reader's role are lost.
    bool losesResignations = false;
    /// Time from a reader's read of changes to its next read.
    Duration readPause = ReaderReadDelay;
    /// Time that a read without changes takes beyond its wait.
    Duration answerDelay{};
    /// Number of updates of which one is lost; 0 if none is lost.
    int lossInterval = 0;

private:
    void apply(Instance &row, const std::vector<UpstreamChange> &changes)
    {
        for (const auto &change : changes) {
            if (change.removed)
                row.list.erase(change.entry.id);
            else
                row.list[change.entry.id] = change.entry;
        }
    }

    void broadcast(const Instance &sender, const proto::ListWord &update)
    {
        for (auto &row : this->members) {
            if (&row == &sender || row.frozen)
                continue;
            if (this->losesResignations && update.resigns())
                continue;
            if (this->lossInterval != 0 && ++this->sent % this->lossInterval == 0)
                continue;
            this->apply(row, row.relay->handleUpdate(update, this->now));
        }
    }

    void runInstance(Instance &row)
    {
        if (row.frozen)
            return;
        if (auto update = row.relay->takeDueUpdate(this->now))
            this->broadcast(row, *update);
        if (!row.relay->shouldReadStore(this->now) || this->now < row.readAt)
            return;
        if (row.storeSilent && this->now < row.readAt + ListRelay::MaxReadWait + CallTimeout)
            return;
        ++row.reads;
        if (row.storeUnreachable || row.storeSilent) {
            row.readAt = this->now + milliseconds(150);
            if (auto update = row.relay->handleStoreFailure(this->now))
                this->broadcast(row, *update);
            return;
        }
        const uint64_t from = row.relay->revision();
        std::vector<UpstreamChange> changes;
        for (const auto &change : this->history) {
            if (change.entry.sequence > from)
                changes.push_back(change);
        }
        this->apply(row, changes);
        if (from == 0) {
            row.relay->handleFullRead(this->revision, this->now);
            return;
        }
        for (const auto &update : row.relay->handleStoreChanges(this->revision, changes, this->now))
            this->broadcast(row, update);
        row.readAt = this->now + (changes.empty() ? ListRelay::MaxReadWait + this->answerDelay
                                                  : this->readPause);
    }

    uint64_t revision = 1;
    uint64_t tick = 0;
    int sent = 0;
    std::vector<UpstreamChange> history;
};

} // namespace

TEST_CASE("A data centre of 18 instances reads the instance list once")
{
    DataCentre dataCentre(18);
    for (int i = 0; i < 180; ++i)
        dataCentre.change(i);
    dataCentre.run(std::chrono::seconds(3));
    REQUIRE(dataCentre.countReaders() == 1);
    // The reader is one of the instances without a low CPU share.
    CHECK(&dataCentre.reader() - dataCentre.members.data() < 3);

    SUBCASE("at a cost that does not grow with the number of instances")
    {
        const int before = dataCentre.totalReads();
        dataCentre.run(std::chrono::seconds(20));
        // A reader reads at most once per ReaderReadDelay; 18 readers would read 900 times.
        CHECK(dataCentre.totalReads() - before <= 60);
        CHECK(dataCentre.countReaders() == 1);
        dataCentre.changing = false;
        dataCentre.run(std::chrono::seconds(2));
        CHECK(dataCentre.areAllUpToDate());
    }
    SUBCASE("instances catch up after lost updates")
    {
        dataCentre.lossInterval = 7;
        dataCentre.run(std::chrono::seconds(10));
        dataCentre.changing = false;
        dataCentre.run(std::chrono::seconds(3));
        CHECK(dataCentre.areAllUpToDate());
    }
    SUBCASE("all soon know of an engine's end, even if the reader loses the store at that moment")
    {
        dataCentre.changing = false;
        dataCentre.reader().storeUnreachable = true;
        dataCentre.remove(7);
        // The shortest time within which requests to a leaving engine must stop is 3 s.
        dataCentre.run(milliseconds(2600));
        for (const auto &row : dataCentre.members)
            CHECK((row.storeUnreachable || !row.list.contains("e7")));
        CHECK(dataCentre.countReaders() == 1);
    }
    SUBCASE("all soon know of an engine's end while the store is silent for the reader")
    {
        // The worst moment: right after the store has answered the reader.
        dataCentre.readPause = ListRelay::MaxReadPause;
        auto &reader = dataCentre.reader();
        const int before = reader.reads;
        while (reader.reads == before)
            dataCentre.run(Step);
        dataCentre.changing = false;
        SUBCASE("which says that it hears nothing") {}
        SUBCASE("whose word on it is lost")
        {
            dataCentre.losesResignations = true;
        }
        reader.storeSilent = true;
        dataCentre.remove(7);
        dataCentre.run(DrainTime);
        for (const auto &row : dataCentre.members)
            CHECK_FALSE(row.list.contains("e7"));
    }
    SUBCASE("a reader whose answers take 0.3 s keeps its role")
    {
        auto &reader = dataCentre.reader();
        SUBCASE("while the list changes")
        {
            dataCentre.readPause = ListRelay::MaxReadPause + milliseconds(300);
        }
        SUBCASE("while it does not")
        {
            dataCentre.changing = false;
            dataCentre.answerDelay = milliseconds(300);
        }
        const int others = dataCentre.totalReads() - reader.reads;
        dataCentre.run(std::chrono::seconds(20));
        CHECK(dataCentre.countReaders() == 1);
        CHECK(reader.relay->isReader());
        CHECK(dataCentre.totalReads() - reader.reads == others);
    }
    SUBCASE("a reader that hangs is replaced, and its outdated updates are ignored when it is back")
    {
        auto &hungReader = dataCentre.reader();
        hungReader.frozen = true;
        dataCentre.changing = false;
        dataCentre.remove(7);
        dataCentre.run(std::chrono::seconds(6));
        CHECK(dataCentre.areAllUpToDate());
        // The frozen one keeps its role until it receives an update from the other.
        CHECK(dataCentre.countReaders() == 2);
        hungReader.frozen = false;
        dataCentre.changing = true;
        dataCentre.run(std::chrono::seconds(2));
        dataCentre.changing = false;
        dataCentre.run(std::chrono::seconds(2));
        CHECK(dataCentre.countReaders() == 1);
        CHECK(dataCentre.areAllUpToDate());
    }
    SUBCASE("changes that need several datagrams arrive completely")
    {
        for (int round = 0; round < 2; ++round) {
            for (int i = 0; i < 180; ++i)
                dataCentre.change(i);
        }
        dataCentre.changing = false;
        dataCentre.run(std::chrono::seconds(3));
        CHECK(dataCentre.areAllUpToDate());
    }
    SUBCASE("and also if one of the datagrams is lost")
    {
        dataCentre.lossInterval = 3;
        for (int i = 0; i < 180; ++i)
            dataCentre.change(i);
        dataCentre.changing = false;
        dataCentre.run(std::chrono::seconds(3));
        CHECK(dataCentre.areAllUpToDate());
    }
}

// Guards against timeouts that use up the time in which all must know a change.
TEST_CASE("Time is left for a slow read by the only other instance if the reader hears nothing")
{
    enum class Trouble : uint8_t { Silence, SilenceAndLoss, Standstill };
    Trouble trouble{};
    SUBCASE("from the store")
    {
        trouble = Trouble::Silence;
    }
    SUBCASE("from the store, and its updates are lost")
    {
        trouble = Trouble::SilenceAndLoss;
    }
    SUBCASE("because it stands still or has ended")
    {
        trouble = Trouble::Standstill;
    }
    constexpr int Names = 30;
    for (int name = 0; name < Names; ++name) {
        CAPTURE(name);
        DataCentre dataCentre(2, 0, name);
        for (int i = 0; i < 180; ++i)
            dataCentre.change(i);
        dataCentre.run(std::chrono::seconds(3));
        REQUIRE(dataCentre.countReaders() == 1);
        dataCentre.readPause = ListRelay::MaxReadPause;
        auto &reader = dataCentre.reader();
        const int before = reader.reads;
        while (reader.reads == before)
            dataCentre.run(Step);
        dataCentre.changing = false;
        reader.storeSilent = trouble != Trouble::Standstill;
        reader.frozen = trouble == Trouble::Standstill;
        dataCentre.losesResignations = trouble == Trouble::SilenceAndLoss;
        dataCentre.remove(7);
        dataCentre.run(DrainTime - milliseconds(600));
        for (const auto &row : dataCentre.members)
            CHECK((&row == &reader || !row.list.contains("e7")));
    }
}

TEST_CASE("The only instance in a data centre reads the list itself")
{
    DataCentre dataCentre(1);
    dataCentre.change(1);
    dataCentre.run(std::chrono::seconds(2));
    CHECK(dataCentre.countReaders() == 1);

    SUBCASE("and soon reads again after the store's return")
    {
        dataCentre.reader().storeUnreachable = true;
        dataCentre.run(std::chrono::seconds(5));
        dataCentre.members.front().storeUnreachable = false;
        dataCentre.changing = false;
        dataCentre.run(std::chrono::seconds(1));
        CHECK(dataCentre.areAllUpToDate());
    }
}

TEST_CASE("An upstream that was removed does not reappear by late updates or reads")
{
    const Instant start{std::chrono::hours(1)};
    ListRelay reader("front-1", 0.5);
    ListRelay follower("front-2", 0.5);
    reader.handleFullRead(100, start);
    follower.handleFullRead(100, start);
    const Instant later = start + ListRelay::ReaderTimeout + ListRelay::TakeoverJitter;
    REQUIRE(reader.shouldReadStore(later));

    SUBCASE("each upstream is sent once, however often it changed")
    {
        std::vector<UpstreamChange> changes{{false, makeEntry(7, 101)}, {false, makeEntry(8, 102)}};
        changes.push_back({true, makeEntry(7, 103)});
        const auto updates = reader.handleStoreChanges(103, changes, later);
        REQUIRE(updates.size() == 1);
        CHECK(updates[0].changes_size() == 2);
        for (const auto &row : updates[0].changes())
            CHECK(row.removed() == (row.id() == "e7"));
    }
    SUBCASE("a read during which an update arrived is outdated")
    {
        const auto updates = reader.handleStoreChanges(105, {{true, makeEntry(7, 105)}}, later);
        REQUIRE(updates.size() == 1);
        CHECK(follower.handleUpdate(updates[0], later).size() == 1);
        CHECK(follower.isOutdated(104));
        CHECK_FALSE(follower.isOutdated(105));
    }
    SUBCASE("an update that another one overtook is not applied")
    {
        const auto first = reader.handleStoreChanges(104, {{false, makeEntry(7, 104)}}, later);
        const auto second = reader.handleStoreChanges(105, {{true, makeEntry(7, 105)}}, later);
        CHECK(follower.handleUpdate(second[0], later).empty());
        CHECK(follower.shouldReadStore(later));
        follower.handleStoreChanges(105, {}, later);
        CHECK(follower.handleUpdate(first[0], later).empty());
    }
    SUBCASE("neither an older update nor an older read undoes a part of a newer update")
    {
        std::vector<UpstreamChange> changes{{true, makeEntry(7, 118)}};
        changes.push_back({false, makeLargeEntry(8, 119)});
        changes.push_back({false, makeLargeEntry(9, 120)});
        changes.push_back({false, makeLargeEntry(99, 120)});
        const auto newer = reader.handleStoreChanges(120, changes, later);
        REQUIRE(newer.size() == 2);
        const auto taken = follower.handleUpdate(newer[0], later);
        REQUIRE(taken.size() == 3);
        CHECK(taken.front().removed);
        CHECK(follower.revision() == 100);

        ListRelay other("front-3", 0.5);
        other.handleFullRead(100, start);
        REQUIRE(other.shouldReadStore(later));
        const auto older = other.handleStoreChanges(110, {{false, makeEntry(7, 110)}}, later);
        REQUIRE(older.size() == 1);
        CHECK(follower.handleUpdate(older[0], later).empty());
        CHECK(follower.isOutdated(110));
        CHECK_FALSE(follower.isOutdated(120));
    }
    SUBCASE("parts of two readers' updates do not complete one")
    {
        // The other reader sends one more upstream, so it splits its update at another place.
        ListRelay other("front-3", 0.5);
        other.handleFullRead(98, start);
        REQUIRE(other.shouldReadStore(later));
        auto leaving = makeLargeEntry(7, 108);
        leaving.phase = UpstreamPhase::Draining;
        std::vector<UpstreamChange> changes{{false, makeLargeEntry(6, 107)}};
        changes.push_back({false, leaving});
        changes.push_back({false, makeLargeEntry(8, 110)});
        const auto first = reader.handleStoreChanges(110, changes, later);
        changes.push_back({false, makeLargeEntry(5, 99)});
        const auto second = other.handleStoreChanges(110, changes, later);
        REQUIRE(first.size() == 2);
        REQUIRE(second.size() == 2);
        bool drainReceived = false;
        for (const auto &update : {first[1], second[0]}) {
            for (const auto &change : follower.handleUpdate(update, later))
                drainReceived = drainReceived || change.entry.phase == UpstreamPhase::Draining;
        }
        REQUIRE_FALSE(drainReceived);
        CHECK(follower.revision() == 100);
    }
}
