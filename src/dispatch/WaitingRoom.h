// Requests that wait at this instance until an engine reads the prompts before them.
//
// The load that it answers: more prompts than the engines of a model read. A queue that always
// stands serves no more callers than a short one, but all of them late; so a request is let in only
// if its first answer is expected in time, and is refused at once otherwise.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace tray {

class WaitingRoom
{
public:
    using Ticket = uint64_t;

    /// Pace and first answers that were seen longer ago than this tell nothing of the present.
    static constexpr Duration MemoryTime = std::chrono::seconds(2);
    /// Weight of a new sample in the running means.
    static constexpr double SampleWeight = 0.2;

    /// What is known of the engines before a request waits for them.
    struct Engines
    {
        /// Expected time from the sending to the first answer at the best engine, without samples.
        double firstAnswerMs = 0;
        /// Engines that hold the model.
        size_t count = 1;
    };

    /// A request waits for an engine with its model; its prompt takes this time to read.
    Ticket enter(const std::string &model, int urgency, double readMs);
    void leave(Ticket ticket);
    /// A prompt went to an engine, whether it had to wait or not.
    void sent(const std::string &model, Instant now);
    /// The first answer of a prompt came this long after its sending.
    void answered(const std::string &model, Duration firstAnswer, Instant now);
    size_t size() const { return this->waiting.size(); }

    /// Time until the first answer of a new request of this urgency (0 goes first). Other instances
    /// send to the same engines; the pace at which prompts of a standing queue leave shows it.
    Duration predict(const std::string &model, int urgency, const Engines &engines,
                     Instant now) const;
    /// The same for a request that waits already.
    Duration predict(Ticket ticket, const Engines &engines, Instant now) const;

private:
    struct Waiter
    {
        std::string model;
        int urgency;
        double readMs;
    };

    /// How a model's prompts leave, and when they are answered.
    struct Flow
    {
        Instant sentAt{};
        // Others waited when the last prompt left: the time to the next one is the engines' pace.
        bool stoodQueue = false;
        double intervalMs = 0;
        Instant intervalAt{};
        double firstAnswerMs = 0;
        Instant firstAnswerAt{};
    };

    Duration predictAfter(const std::string &model, int urgency, Ticket ticket,
                          const Engines &engines, Instant now) const;
    bool hasWaiters(const std::string &model) const;

    std::map<Ticket, Waiter> waiting;
    std::map<std::string, Flow> flows;
    Ticket next = 1;
};

} // namespace tray
