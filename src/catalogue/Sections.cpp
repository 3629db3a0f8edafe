#include "catalogue/Sections.h"

#include "base/Hash.h"

#include <algorithm>

namespace tray {

std::string_view objectKind(const proto::CatalogueObject &object)
{
    switch (object.body_case()) {
    case proto::CatalogueObject::kPool:
        return "pool";
    case proto::CatalogueObject::kTier:
        return "tier";
    case proto::CatalogueObject::kClientAccount:
        return "client_account";
    case proto::CatalogueObject::kModel:
        return "model";
    case proto::CatalogueObject::kAdapter:
        return "adapter";
    case proto::CatalogueObject::kService:
        return "service";
    case proto::CatalogueObject::BODY_NOT_SET:
        break;
    }
    return {};
}

std::string objectKey(const proto::CatalogueObject &object)
{
    return std::string(objectKind(object)) + "/" + object.name();
}

uint32_t sectionIndex(std::string_view objectKey)
{
    return static_cast<uint32_t>(hash64(objectKey) % SectionCount);
}

std::string sectionKey(uint64_t digest)
{
    return "config/sections/" + toHex(digest);
}

std::string encodeSection(uint32_t index, const std::vector<proto::CatalogueObject> &objects)
{
    std::vector<std::pair<std::string, const proto::CatalogueObject *>> sorted;
    for (const auto &object : objects)
        sorted.emplace_back(objectKey(object), &object);
    std::sort(sorted.begin(), sorted.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    proto::Section section;
    section.set_index(index);
    for (const auto &[key, object] : sorted)
        *section.add_objects() = *object;
    return section.SerializeAsString();
}

uint64_t sectionDigest(std::string_view bytes)
{
    return std::max<uint64_t>(hash64(bytes), 1);
}

uint64_t ticketDigest(const proto::Ticket &ticket)
{
    // The base head is not part of the digest: an operator who repeats a ticket after a lost answer
    // may state a newer one.
    proto::Ticket plain;
    plain.set_number(ticket.number());
    std::map<std::string, const proto::CatalogueObject *> sorted;
    for (const auto &object : ticket.objects())
        sorted[objectKey(object)] = &object;
    for (const auto &[key, object] : sorted) {
        auto &copy = *plain.add_objects();
        copy = *object;
        copy.clear_ticket();
        copy.clear_head_version();
        copy.clear_ticket_digest();
    }
    return std::max<uint64_t>(hash64(plain.SerializeAsString()), 1);
}

std::vector<uint64_t> missingSections(const proto::Head &head, const SectionBytes &sections)
{
    std::vector<uint64_t> missing;
    for (const uint64_t digest : head.section_digests()) {
        if (digest != 0 && !sections.contains(digest))
            missing.push_back(digest);
    }
    return missing;
}

Result<std::vector<proto::CatalogueObject>> readObjects(const proto::Head &head,
                                                        const SectionBytes &sections)
{
    std::vector<proto::CatalogueObject> objects;
    for (const uint64_t digest : head.section_digests()) {
        if (digest == 0)
            continue;
        const auto found = sections.find(digest);
        if (found == sections.end())
            return Error{ErrorKind::NotFound, "section " + toHex(digest) + " is missing"};
        proto::Section section;
        if (sectionDigest(found->second) != digest || !section.ParseFromString(found->second))
            return Error{ErrorKind::Internal, "section " + toHex(digest) + " is damaged"};
        for (auto &object : *section.mutable_objects())
            objects.push_back(std::move(object));
    }
    return objects;
}

} // namespace tray
