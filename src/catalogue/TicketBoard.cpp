#include "catalogue/TicketBoard.h"

#include "catalogue/CatalogueCheck.h"

#include <set>

namespace tray {

namespace {

Error refusal(std::string message)
{
    return {ErrorKind::TicketRefused, std::move(message)};
}

bool isNameValid(const std::string &name)
{
    static constexpr std::string_view Allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.size() <= 128 &&
           name.find_first_not_of(Allowed) == std::string::npos;
}

/// Checks the parts of a ticket that do not depend on the current configuration.
Result<Unit> checkForm(const proto::Ticket &ticket)
{
    if (ticket.number() == 0)
        return refusal("a ticket needs a number above 0");
    if (ticket.objects().empty())
        return refusal("the ticket touches no object");
    std::set<std::string> seen;
    for (const auto &object : ticket.objects()) {
        const auto key = objectKey(object);
        if (objectKind(object).empty())
            return refusal("object " + object.name() + " has no body that tells its kind");
        if (!isNameValid(object.name()))
            return refusal(key + ": a name has letters, digits, '-', '_' and '.' only");
        if (!seen.insert(key).second)
            return refusal(key + " is set twice");
        if (object.has_tier() && !object.deleted() && object.tier().deadline_ms() == 0)
            return refusal(key + " needs a deadline");
        if (object.has_model() && !object.deleted() && object.model().version().empty())
            return refusal(key + " needs a version");
    }
    return Unit{};
}

} // namespace

TicketBoard::TicketBoard(proto::Head head, const std::vector<proto::CatalogueObject> &objects)
    : current(std::move(head))
{
    for (const auto &object : objects)
        this->objects[objectKey(object)] = object;
}

Result<TicketPlan> TicketBoard::plan(const proto::Ticket &ticket,
                                     const std::vector<EngineCapacity> &engines,
                                     uint64_t writerNonce) const
{
    if (auto formCheck = checkForm(ticket); !isOk(formCheck))
        return error(formCheck);
    const uint64_t digest = ticketDigest(ticket);
    const auto acceptedVersion = this->findAcceptedVersion(ticket, digest);
    if (!isOk(acceptedVersion))
        return error(acceptedVersion);
    if (value(acceptedVersion) != 0) {
        TicketPlan plan;
        plan.alreadyAccepted = true;
        plan.head = this->current;
        plan.headVersion = value(acceptedVersion);
        return plan;
    }
    if (auto numbers = this->checkNumbers(ticket); !isOk(numbers))
        return error(numbers);
    Objects after = this->objects;
    for (const auto &object : ticket.objects())
        after[objectKey(object)] = object;
    std::vector<proto::CatalogueObject> all;
    for (const auto &[key, object] : after)
        all.push_back(object);
    const Catalogue next(this->current.version() + 1, all);
    if (auto references = checkReferences(next); !isOk(references))
        return error(references);
    if (auto memory = checkMemory(next, engines); !isOk(memory))
        return error(memory);
    return this->build(ticket, digest, writerNonce);
}

Result<uint64_t> TicketBoard::findAcceptedVersion(const proto::Ticket &ticket,
                                                  uint64_t digest) const
{
    const auto contentDiffers = [&] {
        return refusal("ticket " + std::to_string(ticket.number()) +
                       " was accepted with other content");
    };
    for (const auto &outcome : this->current.recent()) {
        if (outcome.number() != ticket.number())
            continue;
        if (outcome.digest() != digest)
            return contentDiffers();
        return outcome.head_version();
    }
    // The head no longer lists the ticket, but the objects that it was the last to set still have
    // its number. A ticket whose objects were all overwritten by later ones is refused because its
    // number is too low.
    uint64_t version = 0;
    for (const auto &[key, present] : this->objects) {
        if (present.ticket() != ticket.number())
            continue;
        if (present.ticket_digest() != digest)
            return contentDiffers();
        version = present.head_version();
    }
    return version;
}

Result<Unit> TicketBoard::checkNumbers(const proto::Ticket &ticket) const
{
    for (const auto &object : ticket.objects()) {
        const auto key = objectKey(object);
        const auto found = this->objects.find(key);
        if (found == this->objects.end())
            continue;
        const auto &present = found->second;
        if (ticket.number() <= present.ticket())
            return refusal(key + " was set by ticket " + std::to_string(present.ticket()) +
                           "; number " + std::to_string(ticket.number()) + " is too low");
        if (ticket.base_head() != 0 && ticket.base_head() < present.head_version())
            return refusal(key + " conflicts: ticket " + std::to_string(present.ticket()) +
                           " changed it at head " + std::to_string(present.head_version()) +
                           ", the base head is " + std::to_string(ticket.base_head()));
    }
    return Unit{};
}

TicketPlan TicketBoard::build(const proto::Ticket &ticket, uint64_t digest,
                              uint64_t writerNonce) const
{
    TicketPlan plan;
    plan.head = this->current;
    plan.headVersion = this->current.version() + 1;
    plan.head.set_version(plan.headVersion);
    plan.head.set_writer_nonce(writerNonce);
    while (plan.head.section_digests_size() < static_cast<int>(SectionCount))
        plan.head.add_section_digests(0);
    Objects after = this->objects;
    std::set<uint32_t> changedSections;
    for (const auto &object : ticket.objects()) {
        const auto key = objectKey(object);
        auto &stored = after[key];
        stored = object;
        stored.set_ticket(ticket.number());
        stored.set_head_version(plan.headVersion);
        stored.set_ticket_digest(digest);
        changedSections.insert(sectionIndex(key));
    }
    for (const uint32_t index : changedSections) {
        std::vector<proto::CatalogueObject> sectionObjects;
        for (const auto &[key, object] : after) {
            if (sectionIndex(key) == index)
                sectionObjects.push_back(object);
        }
        auto bytes = encodeSection(index, sectionObjects);
        const uint64_t sectionId = sectionDigest(bytes);
        plan.head.set_section_digests(static_cast<int>(index), sectionId);
        plan.sections.emplace(sectionId, std::move(bytes));
    }
    auto &outcome = *plan.head.add_recent();
    outcome.set_number(ticket.number());
    outcome.set_digest(digest);
    outcome.set_head_version(plan.headVersion);
    const int excess = plan.head.recent_size() - RecentTickets;
    if (excess > 0)
        plan.head.mutable_recent()->DeleteSubrange(0, excess);
    return plan;
}

} // namespace tray
