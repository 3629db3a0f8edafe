// Accepts or refuses tickets against the current configuration, and creates the next head.
#pragma once

#include "base/Result.h"
#include "catalogue/Sections.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Memory of an engine, into which minimum replicas have to fit.
struct EngineCapacity
{
    std::string upstream;
    std::string pool;
    uint64_t memoryBytes = 0;
};

/// Writes that an accepted ticket leads to.
struct TicketPlan
{
    /// The same ticket was accepted before; nothing has to be written.
    bool alreadyAccepted = false;
    /// Head to write, or the current one if the ticket was accepted before.
    proto::Head head;
    /// Sections to write before the head, by digest.
    SectionBytes sections;
    /// Head version that the ticket has created or will create.
    uint64_t headVersion = 0;
};

/// Configuration at one head version, against which tickets are checked.
class TicketBoard
{
public:
    /// Creates the board of a system without a configuration.
    TicketBoard() = default;
    /// Creates a board with the objects of all sections of the head, including deleted ones.
    TicketBoard(proto::Head head, const std::vector<proto::CatalogueObject> &objects);

    /// Accepts or refuses a ticket. Fails with TicketRefused, and a message that names the object,
    /// for a number that is too low or was used with other content, a base head older than the last
    /// change of an object, dangling references, values out of range, and minimum replicas that do
    /// not fit. Pools without engines are not checked for memory.
    Result<TicketPlan> plan(const proto::Ticket &ticket, const std::vector<EngineCapacity> &engines,
                            uint64_t writerNonce) const;

    const proto::Head &head() const { return this->current; }
    using Objects = std::map<std::string, proto::CatalogueObject>;
    /// All objects by kind and name, including deleted ones.
    const Objects &contents() const { return this->objects; }

private:
    /// Head version of an earlier acceptance of the same ticket; 0 if it was not accepted before.
    Result<uint64_t> findAcceptedVersion(const proto::Ticket &ticket, uint64_t digest) const;
    Result<Unit> checkNumbers(const proto::Ticket &ticket) const;
    TicketPlan build(const proto::Ticket &ticket, uint64_t digest, uint64_t writerNonce) const;

    proto::Head current;
    // Existing and deleted objects by key; deleted ones keep their ticket number.
    Objects objects;
};

} // namespace tray
