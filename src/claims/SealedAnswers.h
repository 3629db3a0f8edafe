// Replies whose answers are being read from sealed periods.
#pragma once

#include "base/Result.h"

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace tray {

/// Holds the replies about finished claims that wait for the read of a sealed period.
class SealedAnswers
{
public:
    using ReadResult = Result<std::pair<std::string, uint64_t>>;

    struct Answer
    {
        uint64_t waiter = 0;
        proto::ClaimReply reply;
    };

    bool isEmpty() const { return this->reads.empty(); }
    bool contains(uint64_t call) const { return this->reads.contains(call); }
    /// Adds a reply that waits for the result of a call.
    void add(uint64_t call, Answer answer) { this->reads[call] = std::move(answer); }
    /// Removes and returns the reply, with the answer from the call's result. If the answer is not
    /// found, the verdict is Unavailable, which asks the caller to retry.
    Answer complete(uint64_t call, const ReadResult &result);

private:
    std::map<uint64_t, Answer> reads;
};

} // namespace tray
