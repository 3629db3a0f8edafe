// How configuration objects are spread over sections and how head and sections are stored.
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

/// Sections of the configuration. More make each ticket cheaper to read, and the head larger.
constexpr uint32_t SectionCount = 64;
/// Accepted tickets whose outcome the head keeps.
constexpr int RecentTickets = 256;
/// Key of the head in the object API.
constexpr std::string_view HeadKey = "config/head";

/// "model/llama" and so on: kind and name, which identify an object.
std::string objectKey(const proto::CatalogueObject &object);
/// Kind of an object as operators write it; empty if the body is not set.
std::string_view objectKind(const proto::CatalogueObject &object);
/// Section that an object belongs to.
uint32_t sectionIndex(std::string_view objectKey);
/// Key of a section in the object API.
std::string sectionKey(uint64_t digest);

/// Stored form of a section, with objects in order of kind and name; equal content gives equal
/// bytes.
std::string encodeSection(uint32_t index, const std::vector<proto::CatalogueObject> &objects);
/// Digest of stored bytes, never 0.
uint64_t sectionDigest(std::string_view bytes);
/// Digest of what a ticket says, without what the system adds to it.
uint64_t ticketDigest(const proto::Ticket &ticket);

/// Stored bytes of sections by digest.
using SectionBytes = std::map<uint64_t, std::string>;

/// Digests that the head names and that are not among the sections.
std::vector<uint64_t> missingSections(const proto::Head &head, const SectionBytes &sections);
/// Objects of all sections of a head, deleted ones included. Fails with NotFound if a section is
/// missing, Internal if one does not match its digest.
Result<std::vector<proto::CatalogueObject>> readObjects(const proto::Head &head,
                                                        const SectionBytes &sections);

} // namespace tray
