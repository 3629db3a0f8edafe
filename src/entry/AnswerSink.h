// Interface that receives an answer piece by piece while it arrives from an upstream.
#pragma once

#include "dataplane.pb.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace tray {

/// Receives an answer in pieces. onHead() and onData() return false once nobody waits for the
/// answer any more.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual boost::asio::awaitable<bool> onHead(proto::ResponseHead head) = 0;
    virtual boost::asio::awaitable<bool> onData(std::string data) = 0;
    /// Returns whether nobody waits for the answer any more. Does not block.
    virtual bool isAbandoned() = 0;
    /// Returns whether a part of the answer was sent to the caller.
    virtual bool isStarted() const = 0;
};

} // namespace tray
