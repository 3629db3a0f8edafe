// Implements the knowledge of the versions that may have live streams.
#include "fleet/ServiceVersions.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace tray {

namespace {

std::optional<int> hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return std::nullopt;
}

/// Returns the version of one word of a record.
std::optional<std::string> parseVersion(std::string_view word)
{
    if (word.size() % 2 != 1 || word.front() != 'v')
        return std::nullopt;
    std::string version;
    for (size_t i = 1; i < word.size(); i += 2) {
        const auto high = hexDigit(word[i]);
        const auto low = hexDigit(word[i + 1]);
        if (!high || !low)
            return std::nullopt;
        version += static_cast<char>(*high << 4 | *low);
    }
    return version;
}

} // namespace

std::string formatVersionRecord(const std::set<std::string> &versions)
{
    std::string text;
    for (const auto &version : versions)
        text += (text.empty() ? "v" : " v") + toHex(std::string_view(version));
    return text;
}

std::optional<std::set<std::string>> parseVersionRecord(std::string_view text)
{
    std::set<std::string> versions;
    while (!text.empty()) {
        const size_t end = std::min(text.find(' '), text.size());
        auto version = parseVersion(text.substr(0, end));
        if (!version)
            return std::nullopt;
        versions.insert(std::move(*version));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return versions;
}

void ServiceVersions::handleConfig(const FleetConfig &config)
{
    Duration longest = this->longestTimeout.value_or(Duration::zero());
    for (const auto &route : config.routes) {
        if (route.resumable)
            longest = std::max(longest, route.timeout);
    }
    this->longestTimeout = longest;
}

void ServiceVersions::handleList(const std::map<std::string, UpstreamEntry> &entries, Instant now)
{
    std::map<std::string, std::set<std::string>> listed;
    for (const auto &[id, entry] : entries)
        listed[entry.service].insert(entry.softwareVersion);
    for (const auto &[service, versions] : listed) {
        for (const auto &version : versions) {
            this->known[service].absentSince[version].reset();
            this->known[service].expired.erase(version);
        }
    }
    for (auto &[name, service] : this->known) {
        const auto &present = listed[name];
        for (auto &[version, absentSince] : service.absentSince) {
            // Until the first list, absence from it has not been seen.
            if (!present.contains(version) && (!absentSince || !this->listRead))
                absentSince = now;
        }
    }
    this->listRead = true;
}

void ServiceVersions::handleListedVersion(const std::string &service, const std::string &version,
                                          Instant now)
{
    Service &entry = this->known[service];
    entry.expired.erase(version);
    const auto [known, isNew] = entry.absentSince.try_emplace(version, now);
    // It was listed again, however briefly.
    if (!isNew && known->second)
        known->second = now;
}

void ServiceVersions::noteHistoryGap()
{
    for (auto &[name, service] : this->known)
        service.expired.clear();
}

bool ServiceVersions::confirmList(Instant now)
{
    const Instant previous = std::exchange(this->listConfirmedAt, now);
    if (now < previous + MaxListGap || previous == Instant{})
        return true;
    this->noteHistoryGap();
    for (auto &[name, service] : this->known) {
        for (auto &[version, absentSince] : service.absentSince) {
            if (absentSince)
                absentSince = now;
        }
    }
    return false;
}

void ServiceVersions::handleRecord(const std::string &service, std::string_view text, Instant now)
{
    Service &entry = this->known[service];
    entry.hasRecord = true;
    const auto versions = parseVersionRecord(text);
    if (!versions) {
        entry.malformedAt = now;
        return;
    }
    for (const auto &version : *versions) {
        if (!entry.expired.contains(version))
            entry.absentSince.try_emplace(version, now);
    }
}

void ServiceVersions::expire(Instant now)
{
    if (!this->longestTimeout || !this->listRead)
        return;
    const Duration lifetime = *this->longestTimeout + LifetimeMargin;
    if (this->recordsIncompleteAt && now >= *this->recordsIncompleteAt + lifetime)
        this->recordsIncompleteAt.reset();
    for (auto &[name, service] : this->known) {
        auto &expired = service.expired;
        std::erase_if(expired, [&](const auto &item) { return now >= item.second + lifetime; });
        std::erase_if(service.absentSince, [&](const auto &item) {
            const bool isExpired = item.second && now >= *item.second + lifetime;
            if (isExpired)
                expired[item.first] = now;
            return isExpired;
        });
        if (service.malformedAt && now >= *service.malformedAt + lifetime)
            service.malformedAt.reset();
    }
}

std::optional<std::string> ServiceVersions::soleVersion(const std::string &service,
                                                        Instant asOf) const
{
    const auto found = this->known.find(service);
    if (!this->recordsRead || this->recordsIncompleteAt || !this->listRead ||
        this->checkedAsOf < asOf || found == this->known.end() || !found->second.hasRecord ||
        found->second.malformedAt || found->second.absentSince.size() != 1)
        return std::nullopt;
    return found->second.absentSince.begin()->first;
}

std::vector<std::string> ServiceVersions::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, service] : this->known)
        names.push_back(name);
    return names;
}

std::set<std::string> ServiceVersions::versionsOf(const std::string &service) const
{
    std::set<std::string> versions;
    if (const auto found = this->known.find(service); found != this->known.end()) {
        for (const auto &[version, absentSince] : found->second.absentSince)
            versions.insert(version);
    }
    return versions;
}

bool ServiceVersions::mayWriteRecord(const std::string &service) const
{
    const auto found = this->known.find(service);
    return this->recordsRead && !this->recordsIncompleteAt && this->listRead &&
           found != this->known.end() && !found->second.malformedAt;
}

} // namespace tray
