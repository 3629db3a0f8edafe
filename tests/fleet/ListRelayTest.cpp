// Sharing one reading of the instance list, in play without sockets or clocks.
#include "fleet/ListRelay.h"

#include <doctest/doctest.h>
#include <memory>

using namespace tray;

namespace {

constexpr Duration Step = milliseconds(20);
constexpr Duration WatchTime = std::chrono::seconds(2);
// Pause of a reader after changes.
constexpr Duration ReaderPause = milliseconds(400);

UpstreamEntry entryOf(int id, uint64_t sequence)
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

/// One of which two fit into a word.
UpstreamEntry wideEntryOf(int id, uint64_t sequence)
{
    auto entry = entryOf(id, sequence);
    entry.models = {{std::string(ListRelay::MaxChangeBytes / 2 - 200, 'm'), {}}};
    return entry;
}

/// The instances of one data centre, and a store whose list changes all the time.
class DataCentre
{
public:
    explicit DataCentre(int instances)
    {
        for (int i = 0; i < instances; ++i) {
            auto &row = this->members.emplace_back();
            const std::string name = "front-" + std::to_string(i);
            row.relay = std::make_unique<ListRelay>(name, i < 3 ? 0.5 : 0.09);
        }
    }

    struct Instance
    {
        std::unique_ptr<ListRelay> relay;
        std::map<std::string, UpstreamEntry> list;
        Instant readAt{};
        bool cut = false;
        bool frozen = false;
        int reads = 0;
    };

    void play(Duration duration)
    {
        for (const Instant end = this->now + duration; this->now < end; this->now += Step) {
            if (this->changing && ++this->tick % 5 == 0)
                this->change(static_cast<int>(this->revision % 180));
            for (auto &row : this->members)
                this->turn(row);
        }
    }

    void change(int id) { this->history.push_back({false, entryOf(id, ++this->revision)}); }

    void remove(int id)
    {
        ++this->revision;
        UpstreamChange change;
        change.removed = true;
        change.entry = entryOf(id, this->revision);
        this->history.push_back(change);
    }

    int readers() const
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

    int reads() const
    {
        int count = 0;
        for (const auto &row : this->members)
            count += row.reads;
        return count;
    }

    /// Every instance that is not frozen or cut off knows the newest list.
    bool allKnow() const
    {
        std::map<std::string, uint64_t> truth;
        for (const auto &change : this->history) {
            if (change.removed)
                truth.erase(change.entry.id);
            else
                truth[change.entry.id] = change.entry.sequence;
        }
        for (const auto &row : this->members) {
            if (row.frozen)
                continue;
            std::map<std::string, uint64_t> known;
            for (const auto &[id, entry] : row.list)
                known[id] = entry.sequence;
            if (known != truth)
                return false;
        }
        return true;
    }

    std::vector<Instance> members;
    Instant now{std::chrono::hours(1)};
    bool changing = true;
    /// Each so many words one is lost; 0 loses none.
    int lossPeriod = 0;

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

    void tell(const Instance &sender, const proto::ListWord &word)
    {
        for (auto &row : this->members) {
            if (&row == &sender || row.frozen)
                continue;
            if (this->lossPeriod != 0 && ++this->sent % this->lossPeriod == 0)
                continue;
            this->apply(row, row.relay->handleUpdate(word, this->now));
        }
    }

    void turn(Instance &row)
    {
        if (row.frozen)
            return;
        if (auto word = row.relay->heartbeatDue(this->now))
            this->tell(row, *word);
        if (!row.relay->shouldReadStore(this->now) || this->now < row.readAt)
            return;
        ++row.reads;
        if (row.cut) {
            row.readAt = this->now + milliseconds(150);
            if (auto word = row.relay->handleStoreFailure(this->now))
                this->tell(row, *word);
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
        for (const auto &word : row.relay->handleStoreChanges(this->revision, changes, this->now))
            this->tell(row, word);
        row.readAt = this->now + (changes.empty() ? WatchTime : ReaderPause);
    }

    uint64_t revision = 1;
    uint64_t tick = 0;
    int sent = 0;
    std::vector<UpstreamChange> history;
};

} // namespace

TEST_CASE("A data centre of 18 instances reads the instance list once")
{
    DataCentre place(18);
    for (int i = 0; i < 180; ++i)
        place.change(i);
    place.play(std::chrono::seconds(3));
    REQUIRE(place.readers() == 1);
    // One of the strong instances has the work.
    CHECK(&place.reader() - place.members.data() < 3);

    SUBCASE("at a cost that does not grow with the instances")
    {
        const int before = place.reads();
        place.play(std::chrono::seconds(20));
        // A reader looks at most each ReaderPause; 18 readers would look 900 times.
        CHECK(place.reads() - before <= 60);
        CHECK(place.readers() == 1);
        place.changing = false;
        place.play(std::chrono::seconds(2));
        CHECK(place.allKnow());
    }
    SUBCASE("words that are lost are made up for")
    {
        place.lossPeriod = 7;
        place.play(std::chrono::seconds(10));
        place.changing = false;
        place.play(std::chrono::seconds(3));
        CHECK(place.allKnow());
    }
    SUBCASE("an engine's end is known to all soon, even if the reader loses the store that moment")
    {
        place.changing = false;
        place.reader().cut = true;
        place.remove(7);
        // The shortest time in which work for a leaving engine must end is 3 s.
        place.play(milliseconds(2600));
        for (const auto &row : place.members)
            CHECK((row.cut || !row.list.contains("e7")));
        CHECK(place.readers() == 1);
    }
    SUBCASE("a reader that hangs is replaced, and tells nothing of the past when it is back")
    {
        auto &old = place.reader();
        old.frozen = true;
        place.changing = false;
        place.remove(7);
        place.play(std::chrono::seconds(6));
        CHECK(place.allKnow());
        // The one that hangs believes in its role until it hears the other.
        CHECK(place.readers() == 2);
        old.frozen = false;
        place.changing = true;
        place.play(std::chrono::seconds(2));
        place.changing = false;
        place.play(std::chrono::seconds(2));
        CHECK(place.readers() == 1);
        CHECK(place.allKnow());
    }
    SUBCASE("changes that need several datagrams arrive whole")
    {
        for (int round = 0; round < 2; ++round) {
            for (int i = 0; i < 180; ++i)
                place.change(i);
        }
        place.changing = false;
        place.play(std::chrono::seconds(3));
        CHECK(place.allKnow());
    }
    SUBCASE("and arrive also if one of the datagrams is lost")
    {
        place.lossPeriod = 3;
        for (int i = 0; i < 180; ++i)
            place.change(i);
        place.changing = false;
        place.play(std::chrono::seconds(3));
        CHECK(place.allKnow());
    }
}

TEST_CASE("An instance that is alone in its data centre reads for itself")
{
    DataCentre place(1);
    place.change(1);
    place.play(std::chrono::seconds(2));
    CHECK(place.readers() == 1);

    SUBCASE("and goes on soon after the store's return")
    {
        place.reader().cut = true;
        place.play(std::chrono::seconds(5));
        place.members.front().cut = false;
        place.changing = false;
        place.play(std::chrono::seconds(1));
        CHECK(place.allKnow());
    }
}

TEST_CASE("An upstream that has left does not come back by words or readings that are late")
{
    const Instant start{std::chrono::hours(1)};
    ListRelay reader("front-1", 0.5);
    ListRelay follower("front-2", 0.5);
    reader.handleFullRead(100, start);
    follower.handleFullRead(100, start);
    const Instant later = start + ListRelay::ReaderTimeout + ListRelay::TakeoverJitter;
    REQUIRE(reader.shouldReadStore(later));

    SUBCASE("each upstream is told once, however often it changed")
    {
        std::vector<UpstreamChange> changes{{false, entryOf(7, 101)}, {false, entryOf(8, 102)}};
        changes.push_back({true, entryOf(7, 103)});
        const auto words = reader.handleStoreChanges(103, changes, later);
        REQUIRE(words.size() == 1);
        CHECK(words[0].changes_size() == 2);
        for (const auto &row : words[0].changes())
            CHECK(row.removed() == (row.id() == "e7"));
    }
    SUBCASE("a reading that was under way while a word came is outdated")
    {
        const auto words = reader.handleStoreChanges(105, {{true, entryOf(7, 105)}}, later);
        REQUIRE(words.size() == 1);
        CHECK(follower.handleUpdate(words[0], later).size() == 1);
        CHECK(follower.isOutdated(104));
        CHECK_FALSE(follower.isOutdated(105));
    }
    SUBCASE("a word that another one overtook is not taken over again")
    {
        const auto first = reader.handleStoreChanges(104, {{false, entryOf(7, 104)}}, later);
        const auto second = reader.handleStoreChanges(105, {{true, entryOf(7, 105)}}, later);
        CHECK(follower.handleUpdate(second[0], later).empty());
        CHECK(follower.shouldReadStore(later));
        follower.handleStoreChanges(105, {}, later);
        CHECK(follower.handleUpdate(first[0], later).empty());
    }
    SUBCASE("neither an older word nor an older reading undoes a part of a newer word")
    {
        std::vector<UpstreamChange> changes{{true, entryOf(7, 118)}};
        changes.push_back({false, wideEntryOf(8, 119)});
        changes.push_back({false, wideEntryOf(9, 120)});
        changes.push_back({false, wideEntryOf(99, 120)});
        const auto newer = reader.handleStoreChanges(120, changes, later);
        REQUIRE(newer.size() == 2);
        const auto taken = follower.handleUpdate(newer[0], later);
        REQUIRE(taken.size() == 3);
        CHECK(taken.front().removed);
        CHECK(follower.revision() == 100);

        ListRelay other("front-3", 0.5);
        other.handleFullRead(100, start);
        REQUIRE(other.shouldReadStore(later));
        const auto older = other.handleStoreChanges(110, {{false, entryOf(7, 110)}}, later);
        REQUIRE(older.size() == 1);
        CHECK(follower.handleUpdate(older[0], later).empty());
        CHECK(follower.isOutdated(110));
        CHECK_FALSE(follower.isOutdated(120));
    }
    SUBCASE("parts of two readers' words make no whole")
    {
        // The other one tells of an upstream more, so that the parts' limits differ.
        ListRelay other("front-3", 0.5);
        other.handleFullRead(98, start);
        REQUIRE(other.shouldReadStore(later));
        auto leaving = wideEntryOf(7, 108);
        leaving.phase = UpstreamPhase::Draining;
        std::vector<UpstreamChange> changes{{false, wideEntryOf(6, 107)}};
        changes.push_back({false, leaving});
        changes.push_back({false, wideEntryOf(8, 110)});
        const auto first = reader.handleStoreChanges(110, changes, later);
        changes.push_back({false, wideEntryOf(5, 99)});
        const auto second = other.handleStoreChanges(110, changes, later);
        REQUIRE(first.size() == 2);
        REQUIRE(second.size() == 2);
        bool told = false;
        for (const auto &word : {first[1], second[0]}) {
            for (const auto &change : follower.handleUpdate(word, later))
                told = told || change.entry.phase == UpstreamPhase::Draining;
        }
        REQUIRE_FALSE(told);
        CHECK(follower.revision() == 100);
    }
}
