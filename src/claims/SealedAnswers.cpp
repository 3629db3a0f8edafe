// Finds the answer of a claim in the sealed period that was read for it.
#include "claims/SealedAnswers.h"

namespace tray {

SealedAnswers::Answer SealedAnswers::complete(uint64_t call, const ReadResult &result)
{
    Answer answer = std::move(this->reads.extract(call).mapped());
    proto::ClaimPeriod period;
    if (isOk(result) && period.ParseFromString(value(result).first)) {
        for (proto::ClaimRecord &record : *period.mutable_records()) {
            if (record.key() != answer.reply.record().key() ||
                record.claim_id() != answer.reply.record().claim_id())
                continue;
            *answer.reply.mutable_record() = std::move(record);
            return answer;
        }
    }
    answer.reply.Clear();
    answer.reply.set_verdict(proto::CLAIM_VERDICT_UNAVAILABLE);
    return answer;
}

} // namespace tray
