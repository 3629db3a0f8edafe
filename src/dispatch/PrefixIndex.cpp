// Keeps, for each prefix, the engines that hold it, and for each engine its prefixes by last use.
#include "dispatch/PrefixIndex.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace tray {

namespace {

// Fewest parts of an engine, however many engines there are.
constexpr size_t MinEntriesPerEngine = 16;

/// Hash of a prefix that continues another one by a part.
uint64_t extendPrefix(uint64_t prefix, const PromptPart &part)
{
    const uint64_t words[] = {prefix, part.id, part.tokens};
    return hash64(std::string_view(reinterpret_cast<const char *>(words), sizeof(words)));
}

/// Hash of the empty prefix of a model and adapter.
uint64_t emptyPrefix(const std::string &model, const std::string &adapter)
{
    return hash64(adapter, hash64(model));
}

/// Count of uses that decays within about a second.
double decayedUses(double uses, Instant usedAt, Instant now)
{
    return uses * std::exp(-std::max(0.0, std::chrono::duration<double>(now - usedAt).count()));
}

} // namespace

double HeldPrefix::tokensAt(uint64_t engine) const
{
    const auto found =
        std::lower_bound(this->engines.begin(), this->engines.end(), engine,
                         [](const auto &item, uint64_t wanted) { return item.first < wanted; });
    return found == this->engines.end() || found->first != engine ? 0 : found->second;
}

size_t PrefixIndex::engineLimit() const
{
    return std::clamp(MaxEntries / std::max<size_t>(1, this->engines.size()), MinEntriesPerEngine,
                      MaxEntriesPerEngine);
}

void PrefixIndex::noteUse(const std::string &model, const std::string &adapter,
                          const std::vector<PromptPart> &parts, Instant now)
{
    // Only the uses of held prefixes are counted, so that the table stays bounded.
    uint64_t key = emptyPrefix(model, adapter);
    for (const auto &part : parts) {
        key = extendPrefix(key, part);
        const auto found = this->prefixes.find(key);
        if (found == this->prefixes.end())
            return;
        auto &prefix = found->second;
        prefix.uses = decayedUses(prefix.uses, prefix.usedAt, now) + 1;
        prefix.usedAt = now;
    }
}

void PrefixIndex::noteAnswered(uint64_t engine, const std::string &model,
                               const std::string &adapter, const std::vector<PromptPart> &parts,
                               Instant now)
{
    if (parts.empty())
        return;
    auto &entriesOfEngine = this->engines[engine];
    const uint64_t modelHash = hash64(model);
    uint64_t key = emptyPrefix(model, adapter);
    // The prefix before is used last, so that it is evicted after those that need it.
    std::vector<uint64_t> keys;
    for (const auto &part : parts) {
        if (keys.size() == MaxPartsPerPrompt)
            break;
        keys.push_back(key = extendPrefix(key, part));
    }
    for (auto next = keys.rbegin(); next != keys.rend(); ++next) {
        auto &holders = this->prefixes[*next].holders;
        const auto place = std::lower_bound(
            holders.begin(), holders.end(), engine,
            [](const Holder &holder, uint64_t wanted) { return holder.engine < wanted; });
        if (place != holders.end() && place->engine == engine) {
            place->entry->usedAt = now;
            entriesOfEngine.splice(entriesOfEngine.begin(), entriesOfEngine, place->entry);
            continue;
        }
        entriesOfEngine.push_front({*next, modelHash, now});
        holders.insert(place, {engine, entriesOfEngine.begin()});
        ++this->entries;
    }
    this->trim(engine, entriesOfEngine, now);
}

void PrefixIndex::drop(uint64_t engine, EngineEntries &entriesOfEngine,
                       EngineEntries::iterator entry)
{
    if (const auto found = this->prefixes.find(entry->prefix); found != this->prefixes.end()) {
        std::erase_if(found->second.holders,
                      [&](const Holder &holder) { return holder.engine == engine; });
        if (found->second.holders.empty())
            this->prefixes.erase(found);
    }
    entriesOfEngine.erase(entry);
    --this->entries;
}

void PrefixIndex::trim(uint64_t engine, EngineEntries &entriesOfEngine, Instant now)
{
    while (!entriesOfEngine.empty() && (entriesOfEngine.size() > this->engineLimit() ||
                                        now >= entriesOfEngine.back().usedAt + Lifetime))
        this->drop(engine, entriesOfEngine, std::prev(entriesOfEngine.end()));
}

void PrefixIndex::dropEngine(uint64_t engine)
{
    const auto found = this->engines.find(engine);
    if (found == this->engines.end())
        return;
    while (!found->second.empty())
        this->drop(engine, found->second, found->second.begin());
    this->engines.erase(found);
}

void PrefixIndex::retainModels(uint64_t engine, const std::vector<std::string> &models)
{
    const auto found = this->engines.find(engine);
    if (found == this->engines.end())
        return;
    std::vector<uint64_t> kept;
    for (const auto &model : models)
        kept.push_back(hash64(model));
    for (auto entry = found->second.begin(); entry != found->second.end();) {
        const auto current = entry++;
        if (std::find(kept.begin(), kept.end(), current->model) == kept.end())
            this->drop(engine, found->second, current);
    }
}

HeldPrefix PrefixIndex::find(const std::string &model, const std::string &adapter,
                             const std::vector<PromptPart> &parts, Instant now) const
{
    HeldPrefix held;
    uint64_t key = emptyPrefix(model, adapter);
    bool isFirst = true;
    for (const auto &part : parts) {
        key = extendPrefix(key, part);
        const auto found = this->prefixes.find(key);
        if (found == this->prefixes.end())
            return held;
        const auto &prefix = found->second;
        // A part that many ask for is worth less at its few holders, so that others get it as well
        // before they become a queue.
        const double uses = decayedUses(prefix.uses, prefix.usedAt, now);
        const double accepted = UsesPerHolder * static_cast<double>(prefix.holders.size());
        const double factor = uses > accepted ? accepted / uses : 1;
        const auto tokensOf = [&](const Holder &holder) {
            const double age = std::chrono::duration<double>(now - holder.entry->usedAt) /
                               std::chrono::duration<double>(Lifetime);
            return std::clamp(1 - age, 0.0, 1.0) * factor * part.tokens;
        };
        if (isFirst) {
            held.factor = factor;
            for (const auto &holder : prefix.holders) {
                if (const double tokens = tokensOf(holder); tokens > 0)
                    held.engines.emplace_back(holder.engine, tokens);
            }
        } else {
            // Both are sorted; a holder that lacks a part before this one has no use of it.
            auto holder = prefix.holders.begin();
            for (auto &[engine, tokens] : held.engines) {
                while (holder != prefix.holders.end() && holder->engine < engine)
                    ++holder;
                if (holder == prefix.holders.end())
                    break;
                if (holder->engine != engine)
                    continue;
                tokens += tokensOf(*holder);
            }
        }
        isFirst = false;
    }
    return held;
}

} // namespace tray
