// Upper bound of what an engine's memory holds, including the effect of orders whose outcome is
// not known.
#pragma once

#include "memory/EngineState.h"

#include <map>
#include <optional>

namespace tray {

/// Charges memory before an order is sent and releases it only on a report that shows the item
/// gone. Pure state; not safe for concurrent use.
class MemoryLedger
{
public:
    enum class Phase : uint8_t {
        /// The load was sent and no report has shown the item yet.
        LoadSent,
        Loading,
        Ready,
        /// The unload was sent, or the engine reports that it unloads.
        UnloadSent,
    };

    enum class ReportEffect : uint8_t { Ignored, Applied, Restarted };

    struct Entry
    {
        uint64_t bytes = 0;
        Phase phase = Phase::LoadSent;
        /// The last order sent for the item was answered by the present engine process.
        bool accepted = false;
        /// First report that can show the effect of the unload; none while it is unanswered.
        std::optional<uint64_t> unloadSequence;
    };

    /// Takes in a report. Ignores one that is not newer than the last, unless it shows that the
    /// engine process was restarted.
    ReportEffect applyReport(const EngineReport &report);

    /// Charges a load that is about to be sent. Returns false, without effect, if it does not fit
    /// beside a spare amount or if the item is charged already.
    bool chargeLoad(const ItemKey &key, uint64_t bytes, uint64_t spareBytes = 0);
    /// An unload is about to be sent. The charge stays.
    void noteUnload(const ItemKey &key);

    /// What was known of the engine process when an order was sent.
    struct SendMark
    {
        uint64_t sequence = 0;
        uint64_t restarts = 0;
    };

    /// An order for the item is about to be sent, for the first time or again.
    SendMark noteSent(const ItemKey &key);
    /// The engine has answered an order for the item. firstSequence is the number of the first
    /// report that can show its effect. Returns true if the answer shows that the engine process
    /// was restarted.
    bool noteAccepted(const ItemKey &key, OrderAction action, uint64_t firstSequence,
                      uint64_t fencing, const SendMark &mark);

    /// Reserves KV cache for a request; false, without effect, if it does not fit.
    bool reserveKv(uint64_t bytes);
    void releaseKv(uint64_t bytes);

    uint64_t memoryBytes() const { return this->memory; }
    /// Everything charged, in bytes. Exceeds memoryBytes() only if the engine reports more than
    /// was ordered through this ledger.
    uint64_t charged() const;
    uint64_t free() const;
    uint64_t reservedKv() const { return this->ownKv; }
    /// Bytes of unloads that are under way.
    uint64_t pendingRelease() const;
    uint64_t lastSequence() const { return this->sequence; }
    bool hasReport() const { return this->reported; }

    const std::map<ItemKey, Entry> &entries() const { return this->entryTable; }
    const Entry *find(const ItemKey &key) const;
    bool isReady(const ItemKey &key) const;

private:
    void forgetProcess();
    void applyItem(const EngineItem &item, uint64_t reportSequence);

    uint64_t memory = 0;
    uint64_t sequence = 0;
    uint64_t acceptedFencing = 0;
    // First report that must show acceptedFencing, unless the engine was restarted.
    uint64_t fencingSequence = 0;
    bool reported = false;
    uint64_t restarts = 0;
    uint64_t ownKv = 0;
    // KV cache of requests that an earlier agent sent; only falls.
    uint64_t foreignKv = 0;
    std::map<ItemKey, Entry> entryTable;
};

} // namespace tray
