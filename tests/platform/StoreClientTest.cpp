// StoreClient against a stub of the store: reads, paged lists, watches and conditional writes.
#include "StoreClient.h"
#include "StubStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace tray;
using namespace tray::platform;
namespace asio = boost::asio;

namespace {

/// Runs one call to its end while the stub serves it.
template <typename T>
Result<T> runCall(asio::io_context &context, FleetStore::Awaitable<T> call)
{
    std::optional<Result<T>> result;
    asio::co_spawn(
        context,
        [&, call = std::move(call)]() mutable -> asio::awaitable<void> {
            result = co_await std::move(call);
            context.stop();
        },
        [](const std::exception_ptr &failure) {
            if (failure)
                std::rethrow_exception(failure);
        });
    context.restart();
    context.run_for(std::chrono::seconds(10));
    REQUIRE(result.has_value());
    return std::move(*result);
}

std::string entryText(const std::string &state = "ready")
{
    return R"({"service":"s1","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64,)"
           R"("state":")" +
           state + R"(","cold_left_ms":0,"models":[],"sequence":4})";
}

} // namespace

TEST_CASE("Revisions only rise over the eras of a store that is restored from copies")
{
    asio::io_context context;
    test::StubStore store(context);
    HttpClient http(context);
    StoreClient client(http, store.listen());
    const auto empty = store.makeCopy();
    store.put("servers", "i-1", entryText());
    const auto before = runCall(context, client.readUpstreams());
    const auto written = runCall(context, client.writeRecord("leases", {"planner", "first", 0}));
    REQUIRE(isOk(before));
    REQUIRE(isOk(written));
    store.restore(empty);

    SUBCASE("a record that is written again has a higher revision than the one that was lost")
    {
        const auto again = runCall(context, client.writeRecord("leases", {"planner", "next", 0}));
        REQUIRE(isOk(again));
        CHECK(value(again) > value(written));
    }
    SUBCASE("a write on the condition of a lost revision is refused, though it was given out again")
    {
        // The revision of the first record, for another one.
        store.put("others", "o", "1");
        const auto other = runCall(context, client.writeRecord("leases", {"planner", "other", 0}));
        REQUIRE(isOk(other));
        const auto stale =
            runCall(context, client.writeRecord("leases", {"planner", "stale", value(written)}));
        REQUIRE_FALSE(isOk(stale));
        CHECK(error(stale).kind == ErrorKind::VersionConflict);
        CHECK(store.specOf("leases", "planner") == R"("other")");
    }
    SUBCASE("a watch from a lost revision is stale, though the store has passed it again")
    {
        for (int i = 0; i < 20; ++i)
            store.put("servers", "i-2", entryText());
        const auto changes =
            runCall(context, client.awaitUpstreams(value(before).revision, milliseconds(100)));
        REQUIRE_FALSE(isOk(changes));
        CHECK(error(changes).kind == ErrorKind::Stale);
    }
    SUBCASE("a list whose pages come from two eras is not taken for one")
    {
        store.pageSize = 1;
        for (const auto *id : {"i-1", "i-2", "i-3"})
            store.put("servers", id, entryText());
        bool isRestored = false;
        store.beforeList = [&] {
            if (store.requestCount % 2 == 0 && !std::exchange(isRestored, true))
                store.restore(store.makeCopy());
        };
        const auto mixed = runCall(context, client.readUpstreams());
        REQUIRE(isRestored);
        REQUIRE_FALSE(isOk(mixed));
        CHECK(error(mixed).kind == ErrorKind::Stale);
    }
}

TEST_CASE("Names of any characters between the pages of a list hide no entry and repeat none")
{
    asio::io_context context;
    test::StubStore store(context);
    store.pageSize = 1;
    HttpClient http(context);
    StoreClient client(http, store.listen());
    const std::vector<std::string> names{
        "a%",         "a%zz",       "a00%#",    "a01%#zz", "a02&b=",          "a03+",
        "a04%C3%A9",  "a05/b",      "a06/../b", "a07?b",   "a08\\b",          "a09\"b\"",
        "b c",        "c&after=zz", "d+e",      "e;f=g&h", "\xc3\xbc",        "f\r\nX-A: 1",
        "g\x01\x7f ", "..",         ".",        "%2e",     "\xf0\x9f\x9a\xaa"};
    for (const auto &name : names)
        store.put("servers", name, R"("no entry")");
    for (const auto *id : {"0-first", "d-middle", "zz-last", "\xf0\x9f\x9a\xab-beyond"})
        store.put("servers", id, entryText());

    const auto reading = runCall(context, client.readUpstreams());
    REQUIRE(isOk(reading));
    CHECK(value(reading).entries.size() == 4);
    CHECK(store.badRequests.empty());
    CHECK(store.requestCount == static_cast<int>(names.size()) + 4);

    // Records have their names in the path, too.
    for (const auto &name : names) {
        CAPTURE(name);
        const auto written = runCall(context, client.writeRecord("odd kind/&", {name, "one", 0}));
        REQUIRE(isOk(written));
        const auto again =
            runCall(context, client.writeRecord("odd kind/&", {name, "two", value(written)}));
        REQUIRE(isOk(again));
        CHECK(store.specOf("odd kind/&", name) == R"("two")");
        const auto record = runCall(context, client.readRecord("odd kind/&", name));
        REQUIRE(isOk(record));
        CHECK(value(record).name == name);
    }
    CHECK(store.badRequests.empty());
}

TEST_CASE("A list that cannot be read to its end is no shorter list")
{
    asio::io_context context;
    test::StubStore store(context);
    store.pageSize = 1;
    HttpClient http(context);
    StoreClient client(http, store.listen());
    for (const auto *id : {"i-1", "i-2", "i-3"})
        store.put("servers", id, entryText());

    SUBCASE("a page without a name")
    {
        store.put("servers", "i-2-odd", entryText());
        store.placeholders["i-2-odd"] = "7";
        const auto reading = runCall(context, client.readUpstreams());
        REQUIRE_FALSE(isOk(reading));
        CHECK(error(reading).kind == ErrorKind::PlatformUnavailable);
        CHECK(store.requestCount == 3);
    }
    SUBCASE("an object without a name at the end of a page that has others")
    {
        store.pageSize = 2;
        store.put("servers", "i-1-odd", entryText());
        store.placeholders["i-1-odd"] = "null";
        const auto reading = runCall(context, client.readUpstreams());
        REQUIRE(isOk(reading));
        CHECK(value(reading).entries.size() == 3);
    }
    SUBCASE("a store that ignores the name after which a page begins")
    {
        store.placeholders["i-2"] = R"("i-1")";
        const auto reading = runCall(context, client.readUpstreams());
        REQUIRE_FALSE(isOk(reading));
        CHECK(error(reading).kind == ErrorKind::PlatformUnavailable);
        CHECK(store.requestCount == 2);
    }
    SUBCASE("a page that does not tell whether more follow")
    {
        store.more = boost::json::value("yes");
        CHECK_FALSE(isOk(runCall(context, client.readUpstreams())));
    }
    SUBCASE("a revision that no position can hold")
    {
        store.restore({uint64_t{1} << 41, {}});
        const auto reading = runCall(context, client.readUpstreams());
        CHECK_FALSE(isOk(reading));
    }
}

TEST_CASE("A page that the store refuses for a moment does not begin the list anew")
{
    asio::io_context context;
    test::StubStore store(context);
    store.pageSize = 1;
    HttpClient http(context);
    StoreClient client(http, store.listen());
    for (const auto *id : {"i-1", "i-2", "i-3", "i-4"})
        store.put("servers", id, entryText());
    int lists = 0;
    store.beforeList = [&] {
        if (++lists == 2)
            store.overRate = 3;
    };
    const auto reading = runCall(context, client.readUpstreams());
    REQUIRE(isOk(reading));
    CHECK(value(reading).entries.size() == 4);
    CHECK(lists == 4);
}

TEST_CASE("A store call without an answer closes the idle connections to the store")
{
    // Guards against calls that wait for their timeout one after the other, each on another
    // connection that has fallen silent.
    asio::io_context context;
    test::StubStore store(context);
    HttpClient http(context);
    StoreClient client(http, store.listen());
    for (int i = 0; i < 3; ++i)
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { (void)co_await client.readUpstreams(); },
            asio::detached);
    context.run_for(milliseconds(300));
    REQUIRE(http.pooled() == 3);
    store.neverRespond = true;
    REQUIRE_FALSE(isOk(runCall(context, client.readUpstreams())));
    CHECK(http.pooled() == 0);
}

TEST_CASE("The store client reads, follows and writes objects")
{
    asio::io_context context;
    test::StubStore store(context);
    HttpClient http(context);
    StoreClient client(http, store.listen());

    SUBCASE("a missing configuration is reported as NotFound")
    {
        const auto reading = runCall(context, client.readConfig());
        REQUIRE_FALSE(isOk(reading));
        CHECK(error(reading).kind == ErrorKind::NotFound);
    }
    SUBCASE("a list of several pages is read completely, and malformed entries are skipped")
    {
        store.pageSize = 2;
        for (const auto *id : {"i-1", "i-2", "i-3", "i-4", "i-5"})
            store.put("servers", id, entryText());
        store.put("servers", "i-6", R"({"service":7})");
        store.put("servers", "i-7", R"("bytes")");
        const auto reading = runCall(context, client.readUpstreams());
        REQUIRE(isOk(reading));
        CHECK(value(reading).entries.size() == 5);
    }
    SUBCASE("changes after a list are reported once, including removals")
    {
        store.put("servers", "i-1", entryText());
        store.put("servers", "i-2", entryText());
        const auto reading = runCall(context, client.readUpstreams());
        REQUIRE(isOk(reading));
        store.put("servers", "i-1", entryText("draining"));
        store.remove("servers", "i-2");
        const auto changes =
            runCall(context, client.awaitUpstreams(value(reading).revision, milliseconds(1000)));
        REQUIRE(isOk(changes));
        REQUIRE(value(changes).changes.size() == 2);
        CHECK(value(changes).changes[0].entry.phase == UpstreamPhase::Draining);
        CHECK(value(changes).changes[1].removed);
        CHECK(value(changes).changes[1].entry.id == "i-2");
        const auto quiet =
            runCall(context, client.awaitUpstreams(value(changes).revision, milliseconds(20)));
        REQUIRE(isOk(quiet));
        CHECK(value(quiet).changes.empty());
    }
    SUBCASE("an entry that cannot be parsed hides no other, in a list or a watch")
    {
        std::string odd;
        const std::string deep = std::string(40, '[') + std::string(40, ']');
        SUBCASE("nested too deeply")
        {
            odd = deep;
        }
        SUBCASE("nested very deeply")
        {
            odd = std::string(100000, '[') + std::string(100000, ']');
        }
        SUBCASE("with a number too large")
        {
            odd = R"({"service":"s1","slots":1e400000000000})";
        }
        SUBCASE("with brackets in its texts")
        {
            odd = R"({"service":"]}\"[{","models":)" + deep + "}";
        }
        SUBCASE("with bytes that are no text")
        {
            odd = "{\"service\":\"\xff\xfe\"}";
        }
        store.placeholders["odd"] = odd;
        store.put("servers", "i-1", entryText());
        store.put("servers", "i-2", R"("odd")");
        store.put("servers", "i-3", entryText());
        const auto reading = runCall(context, client.readUpstreams());
        REQUIRE(isOk(reading));
        CHECK(value(reading).entries.size() == 2);
        store.put("servers", "i-1", R"("odd")");
        store.put("servers", "i-4", entryText());
        const auto changes =
            runCall(context, client.awaitUpstreams(value(reading).revision, milliseconds(1000)));
        REQUIRE(isOk(changes));
        REQUIRE(value(changes).changes.size() == 2);
        CHECK(value(changes).changes[0].removed);
        CHECK(value(changes).changes[0].entry.id == "i-1");
        CHECK(value(changes).changes[1].entry.id == "i-4");
        CHECK(!value(changes).changes[1].removed);
    }
    SUBCASE("an entry that becomes malformed is reported as removed")
    {
        store.put("servers", "i-1", entryText());
        const auto reading = runCall(context, client.readUpstreams());
        store.put("servers", "i-1", R"({"service":"s1"})");
        const auto changes =
            runCall(context, client.awaitUpstreams(value(reading).revision, milliseconds(1000)));
        REQUIRE(isOk(changes));
        REQUIRE(value(changes).changes.size() == 1);
        CHECK(value(changes).changes[0].removed);
    }
    SUBCASE("a lost history is distinguished from an outage")
    {
        store.put("servers", "i-1", entryText());
        store.compactHistory();
        const auto stale = runCall(context, client.awaitUpstreams(5, milliseconds(100)));
        REQUIRE_FALSE(isOk(stale));
        CHECK(error(stale).kind == ErrorKind::Stale);
        store.respond503 = true;
        const auto outage = runCall(context, client.readUpstreams());
        REQUIRE_FALSE(isOk(outage));
        CHECK(error(outage).kind == ErrorKind::PlatformUnavailable);
    }
    SUBCASE("only one of two writes with the same revision succeeds")
    {
        const auto first = runCall(context, client.writeRecord("leases", {"planner", "one", 0}));
        REQUIRE(isOk(first));
        const auto second = runCall(context, client.writeRecord("leases", {"planner", "two", 0}));
        REQUIRE_FALSE(isOk(second));
        CHECK(error(second).kind == ErrorKind::VersionConflict);
        const auto third =
            runCall(context, client.writeRecord("leases", {"planner", "three", value(first)}));
        REQUIRE(isOk(third));
        CHECK(value(third) > value(first));
        const auto stale =
            runCall(context, client.writeRecord("leases", {"planner", "four", value(first)}));
        CHECK(error(stale).kind == ErrorKind::VersionConflict);
        const auto present = runCall(context, client.readRecord("leases", "planner"));
        REQUIRE(isOk(present));
        CHECK(value(present).text == "three");
    }
}
