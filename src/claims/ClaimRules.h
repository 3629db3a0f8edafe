// Rules of a claim: what each event makes of the present record of a key.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <string>

namespace tray {

/// What an owner does with one event once all earlier ones are decided.
struct ClaimDecision
{
    /// The record must be committed before the reply is sent.
    bool write = false;
    proto::ClaimRecord record;
    proto::ClaimReply reply;
};

/// Decides on a claim. present is null if the key has no record within the retention.
ClaimDecision decideBegin(const proto::ClaimBegin &begin, const proto::ClaimRecord *present,
                          WallMs wall);

/// Decides on the answer of a claimed request; the first answer of a claim stands.
ClaimDecision decideFinish(const proto::ClaimRecord &finished, const proto::ClaimRecord *present);

/// Decides on a claim that was given back. A record is written even if the claim was never granted,
/// so that the claim id is refused if its begin arrives later.
ClaimDecision decideRelease(const proto::ClaimRelease &release, const proto::ClaimRecord *present,
                            WallMs wall);

} // namespace tray
