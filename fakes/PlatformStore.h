// Objects of the stand-in for the object API, with revisions and a log of changes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tray {

/// Versioned objects. An object's version is the store's revision at its last write.
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

    /// Changes kept for watches.
    static constexpr size_t LogLength = 20000;

    const Object *find(const std::string &key) const;
    /// Writes if the version matches (0: the object must not exist); nothing on a conflict.
    std::optional<uint64_t> write(const std::string &key, std::string value, uint64_t expected);
    bool remove(const std::string &key, uint64_t expected);
    uint64_t revision() const { return this->currentRevision; }
    std::vector<Change> list(const std::string &prefix) const;
    /// Last change of each key under the prefix after a revision; nothing if that is too old.
    std::optional<std::vector<Change>> changesAfter(const std::string &prefix,
                                                    uint64_t after) const;
    /// Forgets the log, so that watches have to read the list again.
    void compact();

private:
    void record(const std::string &key, bool deleted);

    uint64_t currentRevision = 0;
    // Watches after an older revision than this one cannot be served.
    uint64_t oldestKnown = 0;
    std::map<std::string, Object> objects;
    std::deque<Change> log;
};

} // namespace tray
