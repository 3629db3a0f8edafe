// Decides which instance reads the instance list, and encodes and applies list updates.
#include "fleet/ListRelay.h"

#include "base/Hash.h"
#include "fleet/InstanceCapacity.h"

namespace tray {

namespace {

proto::ListedUpstream encode(const UpstreamChange &change)
{
    proto::ListedUpstream row;
    const auto &entry = change.entry;
    row.set_id(entry.id);
    row.set_removed(change.removed);
    row.set_service(entry.service);
    row.set_software_version(entry.softwareVersion);
    if (change.removed)
        return row;
    row.set_address(toString(entry.address));
    row.set_data_centre(entry.dataCentre);
    row.set_slots(entry.slots);
    row.set_draining(entry.phase == UpstreamPhase::Draining);
    row.set_born_ms(entry.startedAtMs);
    row.set_sequence(entry.sequence);
    for (const auto &model : entry.models) {
        auto *held = row.add_models();
        held->set_name(model.name);
        for (const auto &adapter : model.adapters)
            held->add_adapters(adapter);
    }
    if (entry.remainingLifetime)
        row.set_leaves_in_ms(static_cast<uint32_t>(toMs(*entry.remainingLifetime)));
    return row;
}

std::optional<UpstreamChange> decode(const proto::ListedUpstream &row)
{
    UpstreamChange change;
    change.removed = row.removed();
    auto &entry = change.entry;
    entry.id = row.id();
    entry.service = row.service();
    entry.softwareVersion = row.software_version();
    if (change.removed)
        return change;
    const auto address = parseAddress(row.address());
    if (!isOk(address))
        return std::nullopt;
    entry.address = value(address);
    entry.dataCentre = row.data_centre();
    entry.slots = row.slots();
    entry.phase = row.draining() ? UpstreamPhase::Draining : UpstreamPhase::Ready;
    entry.startedAtMs = row.born_ms();
    entry.sequence = row.sequence();
    for (const auto &model : row.models())
        entry.models.push_back({model.name(), {model.adapters().begin(), model.adapters().end()}});
    if (row.has_leaves_in_ms())
        entry.remainingLifetime = milliseconds(row.leaves_in_ms());
    return change;
}

uint64_t rankOf(const std::string &instance, double cpuCores)
{
    // Instances with a low CPU share come last.
    constexpr uint64_t LowCpuShareBit = uint64_t{1} << 63;
    const uint64_t hash = hash64(instance) >> 1;
    return hasLowCpuShare(cpuCores) ? hash | LowCpuShareBit : hash;
}

} // namespace

ListRelay::ListRelay(const std::string &instance, double cpuCores)
    : rank(rankOf(instance, cpuCores)),
      takeoverTimeout(ReaderTimeout +
                      milliseconds(hash64(instance) % static_cast<uint64_t>(toMs(TakeoverJitter))) +
                      (hasLowCpuShare(cpuCores) ? LowCpuShareDelay : Duration::zero()))
{}

bool ListRelay::shouldReadStore(Instant now)
{
    if (this->knownRevision == 0)
        return true;
    if (!this->reader && now >= this->readerAnsweredAt + this->takeoverTimeout) {
        this->reader = true;
        this->readerSince = now;
    }
    return this->reader || this->missedChanges;
}

Duration ListRelay::readWait(Instant now) const
{
    // The time of a pause counts, so that a silent store is noticed as soon after it.
    const Duration left = this->lastStoreAnswerAt + MaxReadWait - now;
    return std::clamp<Duration>(left, Duration::zero(), MaxReadWait);
}

std::vector<proto::ListWord>
ListRelay::handleStoreChanges(uint64_t revision, const std::vector<UpstreamChange> &changes,
                              Instant now)
{
    const uint64_t from = this->knownRevision;
    this->knownRevision = std::max(this->knownRevision, revision);
    this->missedChanges = false;
    this->lastStoreAnswerAt = now;
    if (changes.empty()) {
        // The next update, which tells the others of this answer, is due at once.
        this->lastSentAt = {};
        return {};
    }
    this->lastChangeRevision = this->knownRevision;
    if (!this->reader)
        return {};
    this->lastSentAt = now;
    // Only the last change of each upstream is sent: parts may overtake each other, and an upstream
    // that was removed must not reappear.
    std::map<std::string, const UpstreamChange *> last;
    for (const auto &change : changes)
        last[change.entry.id] = &change;
    std::vector<proto::ListWord> updates(1);
    size_t bytes = 0;
    for (const auto &[id, change] : last) {
        const auto row = encode(*change);
        if (bytes + row.ByteSizeLong() > MaxChangeBytes) {
            updates.emplace_back();
            bytes = 0;
        }
        bytes += row.ByteSizeLong();
        *updates.back().add_changes() = row;
    }
    for (size_t i = 0; i < updates.size(); ++i) {
        updates[i].set_from_revision(from);
        updates[i].set_revision(this->knownRevision);
        updates[i].set_part(static_cast<uint32_t>(i));
        updates[i].set_parts(static_cast<uint32_t>(updates.size()));
        updates[i].set_rank(this->rank);
        updates[i].set_answer_age_ms(0);
    }
    return updates;
}

void ListRelay::handleFullRead(uint64_t revision, Instant now)
{
    this->knownRevision = revision;
    this->lastChangeRevision = revision;
    this->parts = {};
    this->missedChanges = false;
    this->lastStoreAnswerAt = now;
    // The changes that a reader would send were just read, so only the jitter and the low-capacity
    // delay remain of the takeover timeout.
    if (!this->reader)
        this->readerAnsweredAt = now - ReaderTimeout;
}

std::optional<proto::ListWord> ListRelay::handleStoreFailure(Instant now)
{
    if (!this->reader)
        return std::nullopt;
    return this->resign(now);
}

proto::ListWord ListRelay::resign(Instant now)
{
    // Others may reach the store; this instance takes over again later than they do.
    this->reader = false;
    this->readerAnsweredAt = now - ReaderTimeout + HeartbeatPeriod;
    proto::ListWord update;
    update.set_rank(this->rank);
    update.set_resigns(true);
    return update;
}

std::optional<proto::ListWord> ListRelay::takeDueUpdate(Instant now)
{
    if (!this->reader || this->knownRevision == 0)
        return std::nullopt;
    if (now >= std::max(this->lastStoreAnswerAt, this->readerSince) + StoreAnswerOverdueTime)
        return this->resign(now);
    if (now < this->lastSentAt + HeartbeatPeriod ||
        now >= this->lastStoreAnswerAt + StoreAnswerLifetime)
        return std::nullopt;
    this->lastSentAt = now;
    proto::ListWord update;
    update.set_from_revision(this->lastChangeRevision);
    update.set_revision(this->knownRevision);
    update.set_parts(1);
    update.set_rank(this->rank);
    update.set_answer_age_ms(static_cast<uint32_t>(toMs(now - this->lastStoreAnswerAt)));
    return update;
}

bool ListRelay::isCurrent(const proto::ListWord &update) const
{
    // A reader that was paused sends outdated updates until its watch has returned. A part of a
    // newer update may already have removed an upstream that an older update still lists.
    return update.parts() > 0 && update.revision() >= this->highestSeenRevision() &&
           update.from_revision() <= update.revision();
}

std::vector<UpstreamChange> ListRelay::handleUpdate(const proto::ListWord &update, Instant now)
{
    if (update.resigns()) {
        if (!this->reader)
            this->readerAnsweredAt = std::min(this->readerAnsweredAt, now - ReaderTimeout);
        return {};
    }
    if (this->knownRevision == 0 || !this->isCurrent(update))
        return {};
    if (this->reader && update.rank() < this->rank)
        this->reader = false;
    // An update of an earlier release says only that the answer is not too old.
    const Instant answeredAt =
        now - (update.has_answer_age_ms() ? Duration(milliseconds(update.answer_age_ms()))
                                          : StoreAnswerLifetime);
    if (!this->reader)
        this->readerAnsweredAt = std::max(this->readerAnsweredAt, answeredAt);
    if (update.from_revision() > this->knownRevision) {
        this->missedChanges = true;
        return {};
    }
    std::vector<UpstreamChange> changes;
    for (const auto &row : update.changes()) {
        if (auto change = decode(row))
            changes.push_back(std::move(*change));
    }
    const bool isSameUpdate = this->parts.rank == update.rank() &&
                              this->parts.from == update.from_revision() &&
                              this->parts.revision == update.revision();
    if (!isSameUpdate)
        this->parts = {update.rank(), update.from_revision(), update.revision(), {}};
    this->parts.seen.insert(update.part());
    if (this->parts.seen.size() >= update.parts()) {
        if (update.changes_size() > 0)
            this->lastChangeRevision = update.revision();
        this->knownRevision = update.revision();
        this->heardAnswerAt = std::max(this->heardAnswerAt, answeredAt);
    }
    return changes;
}

} // namespace tray
