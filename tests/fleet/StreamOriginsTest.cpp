// Guards against origins of streams that are lost, kept for ever or overwritten by older reports,
// and against tables and datagrams that grow.
#include "fleet/StreamOrigins.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

const Instant Start{std::chrono::hours(1)};

StreamOrigin makeOrigin(const std::string &version, Instant expiresAt)
{
    return {"shop", version, expiresAt};
}

proto::StreamOriginReport reportOf(uint64_t stream, const StreamOrigin &origin, Instant now)
{
    proto::StreamOriginReport report;
    *report.add_rows() = makeOriginRow(stream, origin, now);
    return report;
}

proto::StreamOriginQuery queryOf(uint64_t stream)
{
    proto::StreamOriginQuery query;
    query.set_digest(stream);
    return query;
}

} // namespace

TEST_CASE("The origin of a stream is known until no caller takes the stream up any more")
{
    StreamOrigins origins;
    origins.record(1, makeOrigin("v1", Start + milliseconds(500)), Start);
    REQUIRE(origins.find(1, Start));
    CHECK(origins.find(1, Start)->softwareVersion == "v1");
    CHECK_FALSE(origins.find(2, Start));
    CHECK_FALSE(origins.find(1, Start + milliseconds(500)));

    SUBCASE("and expired records are evicted with the next one")
    {
        origins.record(2, makeOrigin("v1", Start + milliseconds(900)), Start + milliseconds(600));
        CHECK(origins.size() == 1);
    }
    SUBCASE("unless the table is full: then the oldest records go")
    {
        for (uint64_t stream = 2; stream <= StreamOrigins::MaxOrigins + 1; ++stream)
            origins.record(stream, makeOrigin("v1", Start + milliseconds(500)), Start);
        CHECK(origins.size() == StreamOrigins::MaxOrigins);
        CHECK_FALSE(origins.find(1, Start));
        CHECK(origins.find(2, Start));
        CHECK(origins.find(StreamOrigins::MaxOrigins + 1, Start));
    }
}

TEST_CASE("A witness answers with what it was told")
{
    StreamOrigins gateway;
    StreamOrigins witness;
    const StreamOrigin origin = makeOrigin("v1", Start + milliseconds(800));
    witness.merge("front-1", reportOf(7, origin, Start), Start);
    // The witness's clock need not agree with the gateway's.
    const Instant later = Start + milliseconds(300);
    gateway.merge("side-1", witness.answer(queryOf(7), later), later);

    REQUIRE(gateway.find(7, later));
    CHECK(gateway.find(7, later)->softwareVersion == "v1");
    CHECK(gateway.find(7, later)->service == "shop");
    CHECK(gateway.find(7, later)->expiresAt == origin.expiresAt);

    SUBCASE("says so if it was told nothing")
    {
        const auto answer = witness.answer(queryOf(8), later);
        REQUIRE(answer.rows_size() == 1);
        CHECK(answer.rows(0).unknown());
        CHECK(answer.rows(0).digest() == 8);
        gateway.merge("side-1", answer, later);
        CHECK_FALSE(gateway.find(8, later));
    }
    SUBCASE("believes the news that no upstream fits the stream any more")
    {
        witness.merge("front-1", reportOf(7, makeOrigin("", origin.expiresAt), later), later);
        CHECK(witness.find(7, later)->softwareVersion.empty());
        // A datagram from before may come late.
        witness.merge("front-1", reportOf(7, origin, later), later);
        CHECK(witness.find(7, later)->softwareVersion.empty());
    }
    SUBCASE("and takes no names without a bound")
    {
        const auto huge = makeOrigin(std::string(1000, 'v'), origin.expiresAt);
        witness.merge("front-1", reportOf(9, huge, later), later);
        CHECK_FALSE(witness.find(9, later));
    }
}

TEST_CASE("A record of a stream, a query and its answer are small datagrams")
{
    proto::Datagram record;
    record.set_sender("gateway-0123");
    *record.mutable_stream_origins()->add_rows() = makeOriginRow(
        ~uint64_t{0}, {"engines-07", "2026.12.06-1a2b3c4", Start + milliseconds(90000)}, Start);
    proto::Datagram query;
    query.set_sender("gateway-0123");
    query.mutable_stream_origin_query()->set_digest(~uint64_t{0});
    CHECK(record.ByteSizeLong() == 63);
    CHECK(query.ByteSizeLong() == 25);
}
