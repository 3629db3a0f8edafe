// Rules of a claim: how each request changes the present record of a key, and the reply to it.
#pragma once

#include "base/Time.h"

#include "control.pb.h"

#include <string>

namespace tray {

/// An owner's decision on one request, made once all earlier requests are decided.
struct ClaimDecision
{
    /// Whether the record must be committed before the reply is sent.
    bool write = false;
    proto::ClaimRecord record;
    proto::ClaimReply reply;
};

/// Decides whether a claim is granted. present is null if the key has no record within the
/// retention time.
ClaimDecision decideBegin(const proto::ClaimBegin &begin, const proto::ClaimRecord *present,
                          WallMs wall);

/// Decides on the answer of a claimed request. The first answer of a claim is final.
ClaimDecision decideFinish(const proto::ClaimRecord &finished, const proto::ClaimRecord *present);

/// Decides on the release of a claim. A record is written even if the claim was never granted, so
/// that the claim id is refused if its begin arrives later.
ClaimDecision decideRelease(const proto::ClaimRelease &release, const proto::ClaimRecord *present,
                            WallMs wall);

} // namespace tray
