// Asks the stewards for the admission of requests at their engines, and passes their replies to the
// requests that wait for them.
#pragma once

#include "base/Address.h"
#include "base/Time.h"

#include "fleet.pb.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <unordered_map>

namespace tray {

class Admission;

/// Not thread-safe: used from the gateway's thread only.
class AdmissionClient
{
public:
    /// What the gateway provides.
    struct Hooks
    {
        std::function<void(const proto::Datagram &datagram, const Address &target)> send;
        /// Called as a request with a prompt of this many tokens begins to wait for its admission
        /// at an engine, and as the wait ends.
        std::function<void(const std::string &upstreamId, uint32_t promptTokens)> waitBegan;
        std::function<void(const std::string &upstreamId, uint32_t promptTokens)> waitEnded;
    };

    /// Time after which the last note of a request is sent again, since without it the steward
    /// keeps what the request uses until its deadline.
    static constexpr Duration NoteRepeatDelay = milliseconds(100);
    /// Largest number of notes that are to be sent again.
    static constexpr size_t MaxRepeatedNotes = 4096;

    /// The incarnation differs from that of any other process.
    AdmissionClient(boost::asio::io_context &context, uint64_t incarnation, Hooks hooks)
        : context(context), incarnation(incarnation), hooks(std::move(hooks))
    {}

    void handleReply(const proto::AdmissionReply &reply, const Address &sender, Instant now);
    /// Sends again the notes that are due.
    void repeatNotes(Instant now);
    /// Number of requests that have asked and have not ended.
    size_t openAdmissions() const { return this->admissions.size(); }

private:
    friend class Admission;

    struct RepeatedNote
    {
        Instant dueAt;
        Address target;
        proto::Datagram datagram;
    };

    uint64_t open(Admission &admission);
    void close(uint64_t ticket) { this->admissions.erase(ticket); }
    /// Sends a note that ends a request's admission, now and once again.
    void sendFinalNote(const proto::AdmissionNote &note, const Address &target, Instant now);

    boost::asio::io_context &context;
    const uint64_t incarnation;
    const Hooks hooks;
    uint64_t nextTicket = 1;
    std::unordered_map<uint64_t, Admission *> admissions;
    // In the order of their times.
    std::deque<RepeatedNote> repeatedNotes;
};

} // namespace tray
