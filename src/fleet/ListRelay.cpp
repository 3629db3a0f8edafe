// Roles and words of the instances that share a reading of the list.
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
    if (change.removed)
        return row;
    row.set_service(entry.service);
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
    if (change.removed)
        return change;
    const auto address = parseAddress(row.address());
    if (!isOk(address))
        return std::nullopt;
    entry.service = row.service();
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

uint64_t rankOf(const std::string &instance, double processorShare)
{
    // Strong instances come first.
    constexpr uint64_t WeakBit = uint64_t{1} << 63;
    const uint64_t hash = hash64(instance) >> 1;
    return hasLowCapacity(processorShare) ? hash | WeakBit : hash;
}

} // namespace

ListRelay::ListRelay(const std::string &instance, double processorShare)
    : rank(rankOf(instance, processorShare)),
      patience(ReaderTimeout +
               milliseconds(hash64(instance) % static_cast<uint64_t>(toMs(TakeoverJitter))) +
               (hasLowCapacity(processorShare) ? WeakDelay : Duration::zero()))
{}

bool ListRelay::shouldReadStore(Instant now)
{
    if (this->knownRevision == 0)
        return true;
    if (!this->reader && now >= this->heardAt + this->patience)
        this->reader = true;
    return this->reader || this->behind;
}

std::vector<proto::ListWord>
ListRelay::handleStoreChanges(uint64_t revision, const std::vector<UpstreamChange> &changes,
                              Instant now)
{
    const uint64_t from = this->knownRevision;
    this->knownRevision = std::max(this->knownRevision, revision);
    this->behind = false;
    this->answeredAt = now;
    if (changes.empty())
        return {};
    this->quietSince = this->knownRevision;
    if (!this->reader)
        return {};
    this->toldAt = now;
    // Only the last change of each upstream is told: parts may overtake each other, and an upstream
    // that has left must not come back.
    std::map<std::string, const UpstreamChange *> last;
    for (const auto &change : changes)
        last[change.entry.id] = &change;
    std::vector<proto::ListWord> words(1);
    size_t bytes = 0;
    for (const auto &[id, change] : last) {
        const auto row = encode(*change);
        if (bytes + row.ByteSizeLong() > MaxChangeBytes) {
            words.emplace_back();
            bytes = 0;
        }
        bytes += row.ByteSizeLong();
        *words.back().add_changes() = row;
    }
    for (size_t i = 0; i < words.size(); ++i) {
        words[i].set_from_revision(from);
        words[i].set_revision(this->knownRevision);
        words[i].set_part(static_cast<uint32_t>(i));
        words[i].set_parts(static_cast<uint32_t>(words.size()));
        words[i].set_rank(this->rank);
    }
    return words;
}

void ListRelay::handleFullRead(uint64_t revision, Instant now)
{
    this->knownRevision = revision;
    this->quietSince = revision;
    this->parts = {};
    this->behind = false;
    this->answeredAt = now;
    // What the others would tell was just read: only the spread is left of the patience.
    if (!this->reader)
        this->heardAt = now - ReaderTimeout;
}

std::optional<proto::ListWord> ListRelay::handleStoreFailure(Instant now)
{
    if (!this->reader)
        return std::nullopt;
    // Others may reach the store; this instance tries again after them.
    this->reader = false;
    this->heardAt = now - ReaderTimeout + HeartbeatPeriod;
    proto::ListWord word;
    word.set_rank(this->rank);
    word.set_resigns(true);
    return word;
}

std::optional<proto::ListWord> ListRelay::heartbeatDue(Instant now)
{
    if (!this->reader || this->knownRevision == 0 || now < this->toldAt + HeartbeatPeriod ||
        now >= this->answeredAt + AnswerLifetime)
        return std::nullopt;
    this->toldAt = now;
    proto::ListWord word;
    word.set_from_revision(this->quietSince);
    word.set_revision(this->knownRevision);
    word.set_parts(1);
    word.set_rank(this->rank);
    return word;
}

bool ListRelay::isBelievable(const proto::ListWord &word) const
{
    // A reader that was paused tells of the past until its watch has returned. A part of a newer
    // word may have ended an upstream already that an older word still lists.
    return word.parts() > 0 && word.revision() >= this->highestSeenRevision() &&
           word.from_revision() <= word.revision();
}

std::vector<UpstreamChange> ListRelay::handleUpdate(const proto::ListWord &word, Instant now)
{
    if (word.resigns()) {
        if (!this->reader)
            this->heardAt = std::min(this->heardAt, now - ReaderTimeout);
        return {};
    }
    if (this->knownRevision == 0 || !this->isBelievable(word))
        return {};
    if (this->reader && word.rank() < this->rank)
        this->reader = false;
    if (!this->reader)
        this->heardAt = now;
    if (word.from_revision() > this->knownRevision) {
        this->behind = true;
        return {};
    }
    std::vector<UpstreamChange> changes;
    for (const auto &row : word.changes()) {
        if (auto change = decode(row))
            changes.push_back(std::move(*change));
    }
    const bool isSameWord = this->parts.rank == word.rank() &&
                            this->parts.from == word.from_revision() &&
                            this->parts.revision == word.revision();
    if (!isSameWord)
        this->parts = {word.rank(), word.from_revision(), word.revision(), {}};
    this->parts.seen.insert(word.part());
    if (this->parts.seen.size() >= word.parts()) {
        if (word.changes_size() > 0)
            this->quietSince = word.revision();
        this->knownRevision = word.revision();
    }
    return changes;
}

} // namespace tray
