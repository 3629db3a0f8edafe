// Receiver of an answer while it arrives from an upstream.
#pragma once

#include "dataplane.pb.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace tray {

/// Takes an answer in pieces. The calls return false once nobody wants the answer any more.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual boost::asio::awaitable<bool> onHead(proto::ResponseHead head) = 0;
    virtual boost::asio::awaitable<bool> onData(std::string data) = 0;
    /// True once nobody waits for the answer; checks without waiting.
    virtual bool isAbandoned() = 0;
    /// A part of the answer was sent to the caller.
    virtual bool isStarted() const = 0;
};

} // namespace tray
