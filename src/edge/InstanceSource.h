// Interface to the platform's list of live and leaving instances.
#pragma once

#include "base/Result.h"

#include "control.pb.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace tray {

/// Reads the instance list and registers this process in it. The list may lag behind the
/// registrations. Errors: PlatformUnavailable, Overloaded.
class InstanceSource
{
public:
    virtual ~InstanceSource() = default;

    virtual boost::asio::awaitable<Result<proto::InstanceList>> read() = 0;
    /// Adds or replaces an entry. Idempotent.
    virtual boost::asio::awaitable<Result<Unit>> add(proto::InstanceEntry entry) = 0;
    /// Marks an entry as leaving.
    virtual boost::asio::awaitable<Result<Unit>> remove(std::string id) = 0;
};

} // namespace tray
