// Assigns configuration objects to sections, and defines the stored form of head and sections.
#pragma once

#include "base/Result.h"
#include "catalogue/Catalogue.h"

#include "catalogue.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tray {

/// Number of sections of the configuration. More sections make each ticket cheaper to read, but the
/// head larger.
constexpr uint32_t SectionCount = 64;
/// Number of accepted tickets whose outcome the head keeps.
constexpr int RecentTickets = 256;
/// Key of the head in the object API.
constexpr std::string_view HeadKey = "config/head";

/// Kind and name, which identify an object, e.g. "model/llama".
std::string objectKey(const proto::CatalogueObject &object);
/// Kind of an object as operators write it; empty if the body is not set.
std::string_view objectKind(const proto::CatalogueObject &object);
/// Index of the section that an object belongs to.
uint32_t sectionIndex(std::string_view objectKey);
/// Key of a section in the object API.
std::string sectionKey(uint64_t digest);

/// Returns the stored form of a section, with the objects sorted by kind and name; equal content
/// gives equal bytes.
std::string encodeSection(uint32_t index, const std::vector<proto::CatalogueObject> &objects);
/// Digest of stored bytes, never 0.
uint64_t sectionDigest(std::string_view bytes);
/// Digest of a ticket's number and objects, without the fields that the system adds to them.
uint64_t ticketDigest(const proto::Ticket &ticket);

/// Stored bytes of sections by digest.
using SectionBytes = std::map<uint64_t, std::string>;

/// Returns the digests in the head that are not among the given sections.
std::vector<uint64_t> missingSections(const proto::Head &head, const SectionBytes &sections);
/// Returns the objects of all sections of a head, including deleted ones. Fails with NotFound if a
/// section is missing, and with Internal if one does not match its digest.
Result<std::vector<proto::CatalogueObject>> readObjects(const proto::Head &head,
                                                        const SectionBytes &sections);

} // namespace tray
