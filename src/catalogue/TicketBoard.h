// Acceptance of tickets: decides against the present configuration, and makes the next head.
#pragma once

#include "base/Result.h"
#include "catalogue/Sections.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Engines that the minimum replicas have to fit into.
struct EngineRoom
{
    std::string upstream;
    std::string pool;
    uint64_t memoryBytes = 0;
};

/// What a ticket would lead to.
struct TicketPlan
{
    /// The same ticket was accepted before; nothing is to be written.
    bool alreadyAccepted = false;
    /// Head to write, or the present one if the ticket was accepted before.
    proto::Head head;
    /// Sections to write before the head, by digest.
    SectionBytes sections;
    /// Head version that the ticket made or would make.
    uint64_t headVersion = 0;
};

/// Configuration at one head, against which tickets are checked.
class TicketBoard
{
public:
    /// Board of a system without any configuration.
    TicketBoard() = default;
    /// The objects are those of all sections of the head, deleted ones included.
    TicketBoard(proto::Head head, const std::vector<proto::CatalogueObject> &objects);

    /// Decides on a ticket. Fails with TicketRefused, and a message that names the object, for a
    /// number that is too low or was used for something else, a base head older than the last
    /// change of an object, dangling references, values out of range and minimum replicas that do
    /// not fit. Pools without any engine are not checked for room.
    Result<TicketPlan> plan(const proto::Ticket &ticket, const std::vector<EngineRoom> &engines,
                            uint64_t writerNonce) const;

    const proto::Head &head() const { return this->current; }
    using Objects = std::map<std::string, proto::CatalogueObject>;
    /// All objects by kind and name, deleted ones included.
    const Objects &contents() const { return this->objects; }

private:
    /// Head version of an earlier acceptance of the same ticket; 0 if there is none.
    Result<uint64_t> acceptedBefore(const proto::Ticket &ticket, uint64_t digest) const;
    Result<Unit> checkNumbers(const proto::Ticket &ticket) const;
    TicketPlan build(const proto::Ticket &ticket, uint64_t digest, uint64_t writerNonce) const;

    proto::Head current;
    // Present and deleted objects by key; deleted ones keep their ticket number.
    Objects objects;
};

} // namespace tray
