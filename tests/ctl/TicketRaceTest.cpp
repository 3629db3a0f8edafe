// Operators submit tickets concurrently while answers are lost and the platform has outages.
#include "ctl/MemoryObjectApi.h"
#include "ctl/TicketSubmitter.h"
#include "support/Property.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <map>

using namespace tray;
namespace asio = boost::asio;

namespace {

constexpr int OperatorCount = 4;
constexpr int TierCount = 2;

/// Number, tier, content, and whether the ticket states the base head that its operator read, which
/// is head 1.
using TicketSpec = std::tuple<int, int, int, bool>;

proto::Ticket ticketOf(const TicketSpec &spec)
{
    const auto [number, index, content, statesBaseHead] = spec;
    proto::Ticket ticket;
    ticket.set_number(static_cast<uint64_t>(number));
    ticket.set_base_head(statesBaseHead ? 1 : 0);
    auto &object = *ticket.add_objects();
    object.set_name("t" + std::to_string(index));
    object.mutable_tier()->set_deadline_ms(static_cast<uint32_t>(content + 1));
    return ticket;
}

/// Submits tickets concurrently, each by an operator of its own, and returns after all have ended.
std::vector<Result<TicketAcceptance>> submitAll(ObjectApi &api,
                                                const std::vector<TicketSpec> &specs)
{
    asio::io_context context;
    TicketRetry retry;
    retry.initialBackoff = Duration::zero();
    retry.maxBackoff = Duration::zero();
    std::vector<std::unique_ptr<TicketSubmitter>> operators;
    std::vector<Result<TicketAcceptance>> results(specs.size(), Error{});
    for (size_t i = 0; i < specs.size(); ++i) {
        operators.push_back(std::make_unique<TicketSubmitter>(
            api, [] { return 0.0; }, retry));
        asio::co_spawn(
            context,
            operators.back()->submit(ticketOf(specs[i]), {},
                                     std::chrono::steady_clock::now() + std::chrono::seconds(60)),
            [&results, i](const std::exception_ptr &, Result<TicketAcceptance> result) {
                results[i] = std::move(result);
            });
    }
    context.run();
    return results;
}

} // namespace

TEST_CASE("Concurrent submissions, lost answers and outages never corrupt a ticket")
{
    // Guards against an accepted ticket that is reverted, two conflicting tickets that are both
    // accepted, a ticket that takes effect although it was refused, and one that takes effect
    // twice.
    test::checkProperty("ticket races", 20261207, 200, [] {
        const auto specs = *rc::gen::container<std::vector<TicketSpec>>(
            OperatorCount, rc::gen::tuple(rc::gen::inRange(2, 6), rc::gen::inRange(0, TierCount),
                                          rc::gen::inRange(0, 2), rc::gen::arbitrary<bool>()));
        test::MemoryObjectApi api(*rc::gen::scale(
            3, rc::gen::container<std::vector<test::MemoryObjectApi::Choice>>(
                   rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 9)))));
        const std::vector<TicketSpec> first(1, TicketSpec(1, 0, 9, false));
        RC_ASSERT(isOk(submitAll(api, first)[0]));
        const auto results = submitAll(api, specs);

        // Accepted tickets in the order of the heads that they created. Identical tickets share a
        // head.
        std::map<uint64_t, TicketSpec> accepted;
        for (size_t i = 0; i < specs.size(); ++i) {
            if (!isOk(results[i])) {
                RC_ASSERT(error(results[i]).kind == ErrorKind::TicketRefused);
                continue;
            }
            const auto [entry, isNew] =
                accepted.try_emplace(value(results[i]).headVersion, specs[i]);
            RC_ASSERT(isNew ||
                      ticketDigest(ticketOf(entry->second)) == ticketDigest(ticketOf(specs[i])));
            // Any of several identical tickets may have been written; the others are reported as
            // already accepted.
            std::get<3>(entry->second) = std::get<3>(entry->second) && std::get<3>(specs[i]);
        }
        std::map<int, std::pair<int, int>> expectedTiers{{0, {1, 9}}};
        std::map<int, uint64_t> expectedHeadVersions{{0, 1}};
        for (const auto &[head, ticket] : accepted) {
            const auto [number, tier, content, statesBaseHead] = ticket;
            RC_ASSERT(!expectedTiers.contains(tier) || expectedTiers[tier].first < number);
            expectedTiers[tier] = {number, content};
            expectedHeadVersions[tier] = head;
        }
        // Of the tickets that state the same base head and change the same object, only one is
        // accepted.
        for (const auto &[head, ticket] : accepted) {
            for (const auto &[otherHead, other] : accepted) {
                if (head < otherHead && std::get<1>(ticket) == std::get<1>(other))
                    RC_ASSERT(!std::get<3>(other));
            }
        }
        // The store contains exactly the objects of the accepted tickets.
        proto::Head head;
        RC_ASSERT(head.ParseFromString(api.store.find(std::string(HeadKey))->value));
        RC_ASSERT(head.version() == 1 + accepted.size());
        SectionBytes sections;
        for (const uint64_t digest : missingSections(head, sections))
            sections[digest] = api.store.find(sectionKey(digest))->value;
        const auto objects = readObjects(head, sections);
        RC_ASSERT(isOk(objects));
        RC_ASSERT(value(objects).size() == expectedTiers.size());
        for (const auto &object : value(objects)) {
            const int tier = object.name()[1] - '0';
            RC_ASSERT(object.ticket() == static_cast<uint64_t>(expectedTiers[tier].first));
            RC_ASSERT(object.tier().deadline_ms() ==
                      static_cast<uint32_t>(expectedTiers[tier].second + 1));
            RC_ASSERT(object.head_version() == expectedHeadVersions[tier]);
        }
    });
}
