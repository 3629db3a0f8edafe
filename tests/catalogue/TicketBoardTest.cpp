// Acceptance of tickets: ticket numbers, conflicts, references and memory for the minimum replicas.
#include "catalogue/TicketBoard.h"

#include "support/Property.h"

#include <optional>

using namespace tray;

namespace {

/// Store that applies each accepted plan, as the object API does.
struct Store
{
    proto::Head head;
    SectionBytes sections;

    TicketBoard board() const
    {
        const auto objects = readObjects(this->head, this->sections);
        REQUIRE(isOk(objects));
        return TicketBoard(this->head, value(objects));
    }

    Result<TicketPlan> submit(const proto::Ticket &ticket,
                              const std::vector<EngineCapacity> &engines = {})
    {
        auto plan = this->board().plan(ticket, engines, 1);
        if (isOk(plan)) {
            this->head = value(plan).head;
            this->sections.merge(SectionBytes(value(plan).sections));
        }
        return plan;
    }
};

proto::CatalogueObject tier(const std::string &name, uint32_t deadlineMs)
{
    proto::CatalogueObject object;
    object.set_name(name);
    object.mutable_tier()->set_deadline_ms(deadlineMs);
    return object;
}

proto::CatalogueObject clientAccount(const std::string &name, const std::string &tierName)
{
    proto::CatalogueObject object;
    object.set_name(name);
    object.mutable_client_account()->set_tier(tierName);
    return object;
}

proto::CatalogueObject enginePool(const std::string &name)
{
    proto::CatalogueObject object;
    object.set_name(name);
    object.mutable_pool()->set_engines(true);
    return object;
}

proto::CatalogueObject model(const std::string &name, uint64_t bytes, uint32_t replicas)
{
    proto::CatalogueObject object;
    object.set_name(name);
    object.mutable_model()->set_pool("engines");
    object.mutable_model()->set_version("1");
    object.mutable_model()->set_weight_bytes(bytes);
    object.mutable_model()->set_min_replicas(replicas);
    return object;
}

proto::Ticket ticketOf(uint64_t number, const std::vector<proto::CatalogueObject> &objects,
                       uint64_t baseHead = 0)
{
    proto::Ticket ticket;
    ticket.set_number(number);
    ticket.set_base_head(baseHead);
    for (const auto &object : objects)
        *ticket.add_objects() = object;
    return ticket;
}

bool isRefusedWith(const Result<TicketPlan> &plan, const std::string &text)
{
    return !isOk(plan) && error(plan).kind == ErrorKind::TicketRefused &&
           error(plan).message.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("A ticket is accepted or refused with a reason")
{
    Store store;
    REQUIRE(isOk(store.submit(ticketOf(5, {tier("gold", 100)}))));
    SUBCASE(
        "a lower number than the object's last ticket is refused: an old ticket must not revert")
    {
        CHECK(isRefusedWith(store.submit(ticketOf(4, {tier("gold", 50)})), "tier/gold"));
    }
    SUBCASE("the same number with other content is refused")
    {
        CHECK(isRefusedWith(store.submit(ticketOf(5, {tier("gold", 50)})), "other content"));
    }
    SUBCASE("the same ticket is accepted once, also with a newer base head")
    {
        const auto again = store.submit(ticketOf(5, {tier("gold", 100)}, 1));
        REQUIRE(isOk(again));
        CHECK(value(again).alreadyAccepted);
        CHECK(value(again).headVersion == 1);
    }
    SUBCASE("a base head older than an object's last change names the object")
    {
        REQUIRE(isOk(store.submit(ticketOf(6, {tier("gold", 60)}, 1))));
        CHECK(isRefusedWith(store.submit(ticketOf(7, {tier("gold", 70)}, 1)), "tier/gold"));
    }
    SUBCASE("dangling references are refused, also those that a removal causes")
    {
        CHECK(isRefusedWith(store.submit(ticketOf(6, {clientAccount("m", "silver")})),
                            "tier/silver"));
        REQUIRE(isOk(store.submit(ticketOf(6, {clientAccount("m", "gold")}))));
        auto removed = tier("gold", 100);
        removed.set_deleted(true);
        CHECK(isRefusedWith(store.submit(ticketOf(7, {removed})), "client_account/m"));
    }
    SUBCASE("an object without a kind or set twice is refused")
    {
        proto::CatalogueObject bare;
        bare.set_name("x");
        CHECK(isRefusedWith(store.submit(ticketOf(6, {bare})), "kind"));
        CHECK(isRefusedWith(store.submit(ticketOf(6, {tier("a", 1), tier("a", 2)})), "twice"));
    }
    SUBCASE("an accepted ticket that the head no longer lists is still recognised")
    {
        for (uint64_t number = 6; number < 7 + RecentTickets; ++number)
            REQUIRE(isOk(store.submit(ticketOf(number, {tier("silver", 1)}))));
        REQUIRE(store.head.recent(0).number() != 5);
        const auto again = store.submit(ticketOf(5, {tier("gold", 100)}));
        REQUIRE(isOk(again));
        CHECK(value(again).alreadyAccepted);
        CHECK(value(again).headVersion == 1);
        CHECK(isRefusedWith(store.submit(ticketOf(5, {tier("gold", 1)})), "other content"));
        CHECK(isRefusedWith(store.submit(ticketOf(6, {tier("silver", 1)})), "too low"));
    }
}

TEST_CASE("Minimum replicas must fit into the engines' memory together")
{
    Store store;
    const std::vector<EngineCapacity> engines = {
        {"g1", "engines", 100}, {"g2", "engines", 100}, {"other", "elsewhere", 1000}};
    REQUIRE(isOk(store.submit(ticketOf(1, {enginePool("engines")}), engines)));
    SUBCASE("two replicas of one model need two engines")
    {
        CHECK(isOk(store.submit(ticketOf(2, {model("a", 50, 2)}), engines)));
        CHECK(isRefusedWith(store.submit(ticketOf(3, {model("a", 50, 3)}), engines), "model/a"));
    }
    SUBCASE("all models are placed together, the largest first")
    {
        CHECK(isOk(store.submit(ticketOf(2, {model("a", 30, 1), model("b", 30, 1),
                                             model("c", 70, 1), model("d", 70, 1)}),
                                engines)));
        CHECK(isRefusedWith(store.submit(ticketOf(3, {model("e", 10, 1)}), engines), "model/e"));
    }
    SUBCASE("adapters and the KV cache of one full context are included")
    {
        auto wide = model("a", 60, 1);
        wide.mutable_model()->set_kv_bytes_per_token(10);
        wide.mutable_model()->set_max_context_tokens(4);
        proto::CatalogueObject adapter;
        adapter.set_name("x");
        adapter.mutable_adapter()->set_base_model("a");
        adapter.mutable_adapter()->set_bytes(1);
        CHECK(isOk(store.submit(ticketOf(2, {wide}), engines)));
        CHECK(isRefusedWith(store.submit(ticketOf(3, {adapter}), engines), "model/a"));
    }
}

namespace {

/// One change of a generated ticket: object index, content, and whether the object is removed.
using Change = std::tuple<int, int, bool>;
/// One generated ticket: number, age of the base head (0: any base), changes.
using Step = std::tuple<int, int, std::vector<Change>>;

constexpr int Tiers = 3;
constexpr int ClientAccounts = 2;

proto::CatalogueObject objectOf(const Change &change)
{
    const auto [index, content, deleted] = change;
    auto object = index < Tiers
                      ? tier("t" + std::to_string(index), static_cast<uint32_t>(content + 1))
                      : clientAccount("m" + std::to_string(index), "t" + std::to_string(content));
    object.set_deleted(deleted);
    return object;
}

/// The acceptance rules on plain maps, without sections, digests or a limited number of outcomes.
struct ReferenceModel
{
    struct Row
    {
        uint64_t number = 0;
        uint64_t head = 0;
        Change change;
    };
    std::map<int, Row> rows;
    std::map<uint64_t, std::pair<std::map<int, Change>, uint64_t>> accepted;
    uint64_t head = 0;

    /// Head version of the acceptance; not set if the ticket is refused.
    std::optional<uint64_t> submit(uint64_t number, uint64_t base,
                                   const std::map<int, Change> &changes)
    {
        if (const auto found = this->accepted.find(number); found != this->accepted.end())
            return found->second.first == changes ? std::optional(found->second.second)
                                                  : std::nullopt;
        auto next = this->rows;
        for (const auto &[index, change] : changes) {
            const auto &row = next[index];
            if (number <= row.number || (base != 0 && base < row.head))
                return std::nullopt;
            next[index] = {number, this->head + 1, change};
        }
        for (const auto &[index, row] : next) {
            if (index < Tiers || std::get<2>(row.change))
                continue;
            const auto referred = next.find(std::get<1>(row.change));
            if (referred == next.end() || std::get<2>(referred->second.change))
                return std::nullopt;
        }
        this->rows = next;
        this->accepted[number] = {changes, ++this->head};
        return this->head;
    }
};

} // namespace

TEST_CASE("Tickets in any order are accepted or refused as by a simple reference model")
{
    // Guards against an accepted ticket that is reverted, two conflicting tickets that are both
    // accepted, and a repeated ticket that takes effect twice.
    test::checkProperty("ticket board", 20261204, 300, [] {
        const auto change =
            rc::gen::tuple(rc::gen::inRange(0, Tiers + ClientAccounts), rc::gen::inRange(0, Tiers),
                           rc::gen::weightedElement(std::initializer_list<std::pair<size_t, bool>>{
                               {4, false}, {1, true}}));
        const auto step =
            rc::gen::tuple(rc::gen::inRange(1, 30), rc::gen::inRange(0, 4),
                           rc::gen::nonEmpty(rc::gen::container<std::vector<Change>>(change)));
        const auto steps = *rc::gen::container<std::vector<Step>>(step);
        Store store;
        ReferenceModel referenceModel;
        for (const auto &[number, age, changes] : steps) {
            std::map<int, Change> unique;
            for (const auto &row : changes)
                unique.emplace(std::get<0>(row), row);
            std::vector<proto::CatalogueObject> objects;
            for (const auto &[index, row] : unique)
                objects.push_back(objectOf(row));
            const auto limit = static_cast<uint64_t>(age);
            const uint64_t base =
                age == 0 || referenceModel.head < limit ? 0 : referenceModel.head + 1 - limit;
            const auto id = static_cast<uint64_t>(number);
            const auto expected = referenceModel.submit(id, base, unique);
            const auto plan = store.submit(ticketOf(id, objects, base));
            RC_ASSERT(isOk(plan) == expected.has_value());
            if (expected)
                RC_ASSERT(value(plan).headVersion == *expected);
        }
        const auto board = store.board();
        RC_ASSERT(board.contents().size() == referenceModel.rows.size());
        for (const auto &[index, row] : referenceModel.rows) {
            auto wanted = objectOf(row.change);
            const auto &found = board.contents().at(objectKey(wanted));
            RC_ASSERT(found.ticket() == row.number);
            RC_ASSERT(found.head_version() == row.head);
            wanted.set_ticket(found.ticket());
            wanted.set_head_version(found.head_version());
            wanted.set_ticket_digest(found.ticket_digest());
            RC_ASSERT(found.SerializeAsString() == wanted.SerializeAsString());
        }
    });
}
