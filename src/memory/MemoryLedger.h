// Tracks an upper bound of an engine's memory use, including commands whose outcome is unknown.
#pragma once

#include "memory/EngineState.h"

#include <map>
#include <optional>

namespace tray {

/// Charges memory before a load command is sent, and releases it only on a status report in which
/// the item is gone. Does no I/O; not thread-safe.
class MemoryLedger
{
public:
    enum class Phase : uint8_t {
        /// The load was sent and no report has contained the item yet.
        LoadSent,
        Loading,
        Ready,
        /// The unload was sent, or the engine reports that it is unloading the item.
        UnloadSent,
    };

    enum class ReportEffect : uint8_t { Ignored, Applied, Restarted };

    struct Entry
    {
        uint64_t bytes = 0;
        Phase phase = Phase::LoadSent;
        /// The current engine process has answered the last command that was sent for the item.
        bool accepted = false;
        /// Sequence number of the first report that can show the effect of the unload; not set
        /// while the unload is unanswered.
        std::optional<uint64_t> unloadSequence;
    };

    /// Updates the ledger from a report. Ignores a report that is not newer than the last one,
    /// unless it shows that the engine process has restarted.
    ReportEffect applyReport(const EngineStatus &report);

    /// Charges a load that is about to be sent. Returns false, without effect, if it would leave
    /// less than the given headroom or if the item is charged already.
    bool chargeLoad(const ItemKey &key, uint64_t bytes, uint64_t headroomBytes = 0);
    /// Records that an unload is about to be sent. The item stays charged.
    void noteUnload(const ItemKey &key);

    /// State of the engine process, as known when a command was sent.
    struct SendSnapshot
    {
        uint64_t sequence = 0;
        uint64_t restarts = 0;
    };

    /// Records that a command for the item is about to be sent, for the first time or as a resend.
    SendSnapshot noteSent(const ItemKey &key);
    /// Records that the engine has answered a command for the item. firstSequence is the number of
    /// the first report that can show its effect. Returns true if the answer shows that the engine
    /// process has restarted.
    bool noteAccepted(const ItemKey &key, CommandAction action, uint64_t firstSequence,
                      uint64_t fencing, const SendSnapshot &snapshot);

    /// Reserves KV cache for a request. Returns false, without effect, if it does not fit.
    bool reserveKv(uint64_t bytes);
    void releaseKv(uint64_t bytes);

    uint64_t memoryBytes() const { return this->capacity; }
    /// Sum of all charges and KV reservations, in bytes. Exceeds memoryBytes() only if the engine
    /// reports more than was loaded through this ledger.
    uint64_t charged() const;
    uint64_t free() const;
    uint64_t reservedKv() const { return this->reservedKvBytes; }
    /// Bytes of items whose unload is in progress.
    uint64_t pendingRelease() const;
    uint64_t lastSequence() const { return this->sequence; }
    bool hasReport() const { return this->reported; }

    const std::map<ItemKey, Entry> &entries() const { return this->entryTable; }
    const Entry *find(const ItemKey &key) const;
    bool isReady(const ItemKey &key) const;

private:
    void resetForRestart();
    void applyItem(const EngineItem &item, uint64_t reportSequence);

    uint64_t capacity = 0;
    uint64_t sequence = 0;
    uint64_t acceptedFencing = 0;
    // Sequence number of the first report that must show acceptedFencing, unless the engine has
    // restarted.
    uint64_t fencingSequence = 0;
    bool reported = false;
    uint64_t restarts = 0;
    uint64_t reservedKvBytes = 0;
    // KV cache of requests that an earlier agent sent, in bytes; it never increases.
    uint64_t inheritedKvBytes = 0;
    std::map<ItemKey, Entry> entryTable;
};

} // namespace tray
