// Decides on the operations of one commit and builds the next head from them.
#include "claims/ClaimHeadWrite.h"

#include "claims/ClaimRules.h"

namespace tray {

namespace {

// Largest size of the tag and length of a record inside the head.
constexpr size_t RecordOverheadBytes = 6;

ClaimDecision decide(const ClaimOperation &operation, const proto::ClaimRecord *present,
                     WallMs wall)
{
    if (operation.kind == ClaimOperationKind::Finish)
        return decideFinish(operation.record, present);
    if (operation.kind == ClaimOperationKind::Release) {
        proto::ClaimRelease release;
        release.set_key(operation.record.key());
        release.set_claim_id(operation.record.claim_id());
        return decideRelease(release, present, wall);
    }
    proto::ClaimBegin begin;
    begin.set_key(operation.record.key());
    begin.set_body_digest(operation.record.body_digest());
    begin.set_claim_id(operation.record.claim_id());
    return decideBegin(begin, present, wall);
}

} // namespace

ClaimHeadWrite::ClaimHeadWrite(proto::ClaimShardHead committed,
                               std::optional<uint64_t> sealedVersion)
    : newHead(std::move(committed))
{
    if (sealedVersion) {
        this->newHead.clear_records();
        this->newHead.add_sealed(*sealedVersion);
    }
    for (int i = 0; i < this->newHead.records_size(); ++i)
        this->positions[this->newHead.records(i).key()] = i;
    this->bytes = this->newHead.ByteSizeLong();
}

void ClaimHeadWrite::dropSealedPeriods(int count)
{
    auto &sealed = *this->newHead.mutable_sealed();
    this->droppedSealedVersions.assign(sealed.begin(), sealed.begin() + count);
    sealed.erase(sealed.begin(), sealed.begin() + count);
}

bool ClaimHeadWrite::add(const ClaimOperationPtr &operation, const ClaimTable &table, WallMs wall,
                         size_t limitBytes)
{
    const std::string &key = operation->record.key();
    const bool isKeyChanged = this->changedKeys.contains(key);
    const proto::ClaimRecord *present =
        isKeyChanged ? &this->newHead.records(this->positions.at(key)) : table.find(key, wall);
    ClaimDecision decision = decide(*operation, present, wall);
    if (!decision.write && !isKeyChanged) {
        this->immediateReplies.emplace_back(operation, std::move(decision.reply));
        return true;
    }
    if (decision.write) {
        const size_t added = decision.record.ByteSizeLong() + RecordOverheadBytes;
        if (this->bytes + added > limitBytes)
            return false;
        this->bytes += added;
        this->put(decision.record);
        this->newRecords.push_back(std::move(decision.record));
    }
    operation->inWrite = true;
    this->committedReplies.emplace_back(operation, std::move(decision.reply));
    return true;
}

void ClaimHeadWrite::put(const proto::ClaimRecord &record)
{
    const auto [position, isNew] =
        this->positions.emplace(record.key(), this->newHead.records_size());
    *(isNew ? this->newHead.add_records() : this->newHead.mutable_records(position->second)) =
        record;
    this->changedKeys.insert(record.key());
}

} // namespace tray
