// Operators that race with tickets while answers are lost and the platform has outages.
#include "ctl/MemoryObjectApi.h"
#include "ctl/TicketSubmitter.h"
#include "support/Property.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <map>

using namespace tray;
namespace asio = boost::asio;

namespace {

constexpr int Operators = 4;
constexpr int Tiers = 2;

/// Number, tier, content and whether the operator states the base head it saw (head 1).
using Wanted = std::tuple<int, int, int, bool>;

proto::Ticket ticketOf(const Wanted &wanted)
{
    const auto [number, index, content, based] = wanted;
    proto::Ticket ticket;
    ticket.set_number(static_cast<uint64_t>(number));
    ticket.set_base_head(based ? 1 : 0);
    auto &object = *ticket.add_objects();
    object.set_name("t" + std::to_string(index));
    object.mutable_tier()->set_deadline_ms(static_cast<uint32_t>(content + 1));
    return ticket;
}

/// Runs submissions at once until all have ended.
std::vector<Result<TicketAcceptance>> submitAll(ObjectApi &api, const std::vector<Wanted> &wanted)
{
    asio::io_context context;
    TicketRetry retry;
    retry.first = Duration::zero();
    retry.longest = Duration::zero();
    std::vector<std::unique_ptr<TicketSubmitter>> operators;
    std::vector<Result<TicketAcceptance>> results(wanted.size(), Error{});
    for (size_t i = 0; i < wanted.size(); ++i) {
        operators.push_back(std::make_unique<TicketSubmitter>(
            api, [] { return 0.0; }, retry));
        asio::co_spawn(
            context,
            operators.back()->submit(ticketOf(wanted[i]), {},
                                     std::chrono::steady_clock::now() + std::chrono::seconds(60)),
            [&results, i](const std::exception_ptr &, Result<TicketAcceptance> result) {
                results[i] = std::move(result);
            });
    }
    context.run();
    return results;
}

} // namespace

TEST_CASE("Racing operators, lost answers and outages never break a ticket")
{
    // Guards against: an accepted ticket that reverts, two conflicting tickets that both win, a
    // ticket that takes effect although it was refused, and one that takes effect twice.
    test::checkProperty("ticket races", 20261207, 200, [] {
        const auto wanted = *rc::gen::container<std::vector<Wanted>>(
            Operators, rc::gen::tuple(rc::gen::inRange(2, 6), rc::gen::inRange(0, Tiers),
                                      rc::gen::inRange(0, 2), rc::gen::arbitrary<bool>()));
        test::MemoryObjectApi api(*rc::gen::scale(
            3, rc::gen::container<std::vector<test::MemoryObjectApi::Choice>>(
                   rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 9)))));
        const std::vector<Wanted> first(1, Wanted(1, 0, 9, false));
        RC_ASSERT(isOk(submitAll(api, first)[0]));
        const auto results = submitAll(api, wanted);

        // Accepted tickets in the order of the heads they made. Equal tickets share a head.
        std::map<uint64_t, Wanted> accepted;
        for (size_t i = 0; i < wanted.size(); ++i) {
            if (!isOk(results[i])) {
                RC_ASSERT(error(results[i]).kind == ErrorKind::TicketRefused);
                continue;
            }
            const auto [entry, isNew] =
                accepted.try_emplace(value(results[i]).headVersion, wanted[i]);
            RC_ASSERT(isNew ||
                      ticketDigest(ticketOf(entry->second)) == ticketDigest(ticketOf(wanted[i])));
            // Of equal tickets, any may have won, and the others are told that it was accepted.
            std::get<3>(entry->second) = std::get<3>(entry->second) && std::get<3>(wanted[i]);
        }
        std::map<int, std::pair<int, int>> rows{{0, {1, 9}}};
        std::map<int, uint64_t> changedAt{{0, 1}};
        for (const auto &[head, ticket] : accepted) {
            const auto [number, tier, content, based] = ticket;
            RC_ASSERT(!rows.contains(tier) || rows[tier].first < number);
            rows[tier] = {number, content};
            changedAt[tier] = head;
        }
        // Of tickets that state the same base head and touch the same object, one wins.
        for (const auto &[head, ticket] : accepted) {
            for (const auto &[otherHead, other] : accepted) {
                if (head < otherHead && std::get<1>(ticket) == std::get<1>(other))
                    RC_ASSERT(!std::get<3>(other));
            }
        }
        // The store holds what the accepted tickets say and nothing else.
        proto::Head head;
        RC_ASSERT(head.ParseFromString(api.store.find(std::string(HeadKey))->value));
        RC_ASSERT(head.version() == 1 + accepted.size());
        SectionBytes sections;
        for (const uint64_t digest : missingSections(head, sections))
            sections[digest] = api.store.find(sectionKey(digest))->value;
        const auto objects = readObjects(head, sections);
        RC_ASSERT(isOk(objects));
        RC_ASSERT(value(objects).size() == rows.size());
        for (const auto &object : value(objects)) {
            const int tier = object.name()[1] - '0';
            RC_ASSERT(object.ticket() == static_cast<uint64_t>(rows[tier].first));
            RC_ASSERT(object.tier().deadline_ms() == static_cast<uint32_t>(rows[tier].second + 1));
            RC_ASSERT(object.head_version() == changedAt[tier]);
        }
    });
}
