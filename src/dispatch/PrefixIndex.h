// Which engines hold which prefixes of prompts in their caches, as far as this instance's own
// requests show it.
//
// Engines do not report their caches. An engine that has answered a prompt holds its parts for a
// while; a part is of use only if all parts before it are held, too, for the same model and
// adapter. The index is an estimate: a wrong entry costs the time that it promised to save.
#pragma once

#include "base/Time.h"
#include "dispatch/PromptPart.h"

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace tray {

/// What the engines are expected to hold of one prompt.
class HeldPrefix
{
public:
    /// Tokens of the prompt's prefix that the engine is expected to hold, weighted by how likely it
    /// still holds them and reduced for parts that too many requests ask for.
    double tokensAt(uint64_t engine) const;
    /// Factor from 0 to 1 by which the use of the first part is reduced because many requests ask
    /// for it and few engines hold it.
    double spreadFactor() const { return this->factor; }
    bool isEmpty() const { return this->engines.empty(); }

private:
    friend class PrefixIndex;

    // Sorted by engine.
    std::vector<std::pair<uint64_t, double>> engines;
    double factor = 1;
};

/// Bounded index of the prefixes that engines hold. Engines are identified by hashes of their ids.
class PrefixIndex
{
public:
    /// Time after which an unused part is taken to be evicted. Engines under load reuse the memory
    /// of idle parts within tens of seconds.
    static constexpr Duration Lifetime = std::chrono::seconds(20);
    /// Most parts of all engines together; an entry takes about 200 bytes.
    static constexpr size_t MaxEntries = 32768;
    /// Most parts of one engine.
    static constexpr size_t MaxEntriesPerEngine = 512;
    /// Most leading parts of a prompt that are kept.
    static constexpr size_t MaxPartsPerPrompt = 16;
    /// Requests per second of this instance for a part, per engine that holds it, above which the
    /// part is spread to further engines.
    static constexpr double UsesPerHolder = 4;

    /// Records that a request for these parts is made, for the spread of parts in demand.
    void noteUse(const std::string &model, const std::string &adapter,
                 const std::vector<PromptPart> &parts, Instant now);
    /// Records that an engine has answered a prompt that begins with these parts.
    void noteAnswered(uint64_t engine, const std::string &model, const std::string &adapter,
                      const std::vector<PromptPart> &parts, Instant now);
    /// Drops all entries of an engine that has restarted or is gone.
    void dropEngine(uint64_t engine);
    /// Drops the entries of an engine for all models but these.
    void retainModels(uint64_t engine, const std::vector<std::string> &models);

    HeldPrefix find(const std::string &model, const std::string &adapter,
                    const std::vector<PromptPart> &parts, Instant now) const;
    size_t size() const { return this->entries; }

private:
    struct Entry
    {
        uint64_t prefix;
        uint64_t model;
        Instant usedAt;
    };

    /// Entries of one engine, the most recently used first.
    using EngineEntries = std::list<Entry>;

    struct Holder
    {
        uint64_t engine;
        EngineEntries::iterator entry;
    };

    struct Prefix
    {
        // Sorted by engine.
        std::vector<Holder> holders;
        // Requests of the last second, as a decaying count, and the time of the last one.
        double uses = 0;
        Instant usedAt{};
    };

    size_t engineLimit() const;
    void drop(uint64_t engine, EngineEntries &entriesOfEngine, EngineEntries::iterator entry);
    /// Drops the entries of an engine that are over its limit or too old.
    void trim(uint64_t engine, EngineEntries &entriesOfEngine, Instant now);

    // By the hash of the model, the adapter and all parts up to the last one of the prefix.
    std::unordered_map<uint64_t, Prefix> prefixes;
    std::unordered_map<uint64_t, EngineEntries> engines;
    size_t entries = 0;
};

} // namespace tray
