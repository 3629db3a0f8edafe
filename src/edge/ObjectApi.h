// Interface to the platform's object API: versioned objects, conditional updates and watches.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace tray {

/// Value of an object, and its version for use in conditional writes.
struct ObjectValue
{
    std::string value;
    uint64_t version = 0;
};

/// One object in the result of a list or a watch.
struct ObjectChange
{
    std::string key;
    uint64_t version = 0;
    bool deleted = false;
};

/// Objects under a key prefix, and the revision of the store at which they were read.
struct ObjectChanges
{
    uint64_t revision = 0;
    std::vector<ObjectChange> changes;
};

/// Calls to the object API. Errors: NotFound, VersionConflict, PlatformUnavailable (the call had no
/// effect), OutcomeUnknown (a write may have taken effect; the writer reads the object again and
/// compares the nonce that it wrote), Overloaded (the rate limit is exceeded).
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;

    virtual boost::asio::awaitable<Result<ObjectValue>> read(std::string key) = 0;
    /// Writes if the object has the expected version; 0 means that it must not exist. Returns the
    /// new version.
    virtual boost::asio::awaitable<Result<uint64_t>> write(std::string key, std::string value,
                                                           uint64_t expectedVersion) = 0;
    virtual boost::asio::awaitable<Result<Unit>> remove(std::string key,
                                                        uint64_t expectedVersion) = 0;
    virtual boost::asio::awaitable<Result<ObjectChanges>> list(std::string prefix) = 0;
    /// Waits for changes after a revision, at most for the timeout. Fails with Stale if the
    /// revision is too old.
    virtual boost::asio::awaitable<Result<ObjectChanges>> watch(std::string prefix, uint64_t after,
                                                                Duration timeout) = 0;
};

} // namespace tray
