// Immutable snapshot of the configuration (the catalogue) at one version of its head, with lookup
// by name.
#pragma once

#include "catalogue.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// The objects of the configuration in force. Returned pointers are valid as long as the snapshot
/// exists.
class Catalogue
{
public:
    template <typename Body>
    using Table = std::map<std::string, Body, std::less<>>;

    Catalogue() = default;
    /// Creates the snapshot from the objects of all sections; deleted objects are skipped.
    Catalogue(uint64_t headVersion, const std::vector<proto::CatalogueObject> &objects);

    uint64_t headVersion() const { return this->version; }

    /// The find functions return null if there is no such object.
    const proto::Pool *findPool(std::string_view name) const;
    const proto::Tier *findTier(std::string_view name) const;
    const proto::ClientAccount *findClientAccount(std::string_view name) const;
    const proto::Model *findModel(std::string_view name) const;
    const proto::Adapter *findAdapter(std::string_view name) const;
    const proto::Service *findService(std::string_view name) const;

    /// Name of the client account whose credential has this SHA-256 digest (hexadecimal); empty if
    /// there is none.
    std::string_view clientAccountOfCredential(std::string_view digest) const;

    const Table<proto::Pool> &pools() const { return this->poolTable; }
    const Table<proto::Tier> &tiers() const { return this->tierTable; }
    const Table<proto::ClientAccount> &clientAccounts() const { return this->clientAccountTable; }
    const Table<proto::Model> &models() const { return this->modelTable; }
    const Table<proto::Adapter> &adapters() const { return this->adapterTable; }
    const Table<proto::Service> &services() const { return this->serviceTable; }

private:
    uint64_t version = 0;
    Table<proto::Pool> poolTable;
    Table<proto::Tier> tierTable;
    Table<proto::ClientAccount> clientAccountTable;
    Table<proto::Model> modelTable;
    Table<proto::Adapter> adapterTable;
    Table<proto::Service> serviceTable;
    // Client account name by credential digest.
    Table<std::string> credentialTable;
};

} // namespace tray
