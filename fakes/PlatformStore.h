// Stored objects of the stand-in for the object API. Decides which conditional writes succeed and
// which changes a watch gets.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Versioned objects and a bounded log of their changes. Each write or removal increments the
/// store's revision; an object's version is the revision of its last write.
class PlatformStore
{
public:
    struct Object
    {
        std::string value;
        uint64_t version = 0;
    };
    struct Change
    {
        std::string key;
        uint64_t version = 0;
        bool deleted = false;
    };

    /// Number of most recent changes that are kept for watches.
    static constexpr size_t MaxLogEntries = 20000;

    const Object *find(const std::string &key) const;
    /// Writes the object if its version is the expected one (0: the object must not exist) and
    /// returns the new version; nothing on a conflict.
    std::optional<uint64_t> write(const std::string &key, std::string value, uint64_t expected);
    /// Removes the object if it exists with the expected version; returns whether it did.
    bool remove(const std::string &key, uint64_t expected);
    uint64_t revision() const { return this->currentRevision; }
    /// Current version of each object under the prefix.
    std::vector<Change> list(const std::string &prefix) const;
    /// Last change after the revision of each key under the prefix; nothing if the revision is too
    /// old for the log or is later than the current one.
    std::optional<std::vector<Change>> changesAfter(const std::string &prefix,
                                                    uint64_t after) const;
    /// Clears the change log, so that watches after an older revision fail and their callers have
    /// to read the list again.
    void compact();

private:
    void recordChange(const std::string &key, bool deleted);

    uint64_t currentRevision = 0;
    // Oldest revision after which the log still has all changes; watches after an older revision
    // fail.
    uint64_t oldestWatchableRevision = 0;
    std::map<std::string, Object> objects;
    std::deque<Change> log;
};

} // namespace tray
