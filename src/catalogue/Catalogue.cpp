#include "catalogue/Catalogue.h"

namespace tray {

namespace {

template <typename Body>
const Body *findIn(const Catalogue::Table<Body> &table, std::string_view name)
{
    const auto found = table.find(name);
    return found == table.end() ? nullptr : &found->second;
}

} // namespace

Catalogue::Catalogue(uint64_t headVersion, const std::vector<proto::CatalogueObject> &objects)
    : version(headVersion)
{
    for (const auto &object : objects) {
        if (object.deleted())
            continue;
        switch (object.body_case()) {
        case proto::CatalogueObject::kPool:
            this->poolTable[object.name()] = object.pool();
            break;
        case proto::CatalogueObject::kTier:
            this->tierTable[object.name()] = object.tier();
            break;
        case proto::CatalogueObject::kClientAccount:
            this->clientAccountTable[object.name()] = object.client_account();
            for (const auto &digest : object.client_account().credential_digests())
                this->credentialTable[digest] = object.name();
            break;
        case proto::CatalogueObject::kModel:
            this->modelTable[object.name()] = object.model();
            break;
        case proto::CatalogueObject::kAdapter:
            this->adapterTable[object.name()] = object.adapter();
            break;
        case proto::CatalogueObject::kService:
            this->serviceTable[object.name()] = object.service();
            break;
        case proto::CatalogueObject::BODY_NOT_SET:
            break;
        }
    }
}

const proto::Pool *Catalogue::findPool(std::string_view name) const
{
    return findIn(this->poolTable, name);
}

const proto::Tier *Catalogue::findTier(std::string_view name) const
{
    return findIn(this->tierTable, name);
}

const proto::ClientAccount *Catalogue::findClientAccount(std::string_view name) const
{
    return findIn(this->clientAccountTable, name);
}

const proto::Model *Catalogue::findModel(std::string_view name) const
{
    return findIn(this->modelTable, name);
}

const proto::Adapter *Catalogue::findAdapter(std::string_view name) const
{
    return findIn(this->adapterTable, name);
}

const proto::Service *Catalogue::findService(std::string_view name) const
{
    return findIn(this->serviceTable, name);
}

std::string_view Catalogue::clientAccountOfCredential(std::string_view digest) const
{
    const auto found = this->credentialTable.find(digest);
    return found == this->credentialTable.end() ? std::string_view() : found->second;
}

} // namespace tray
