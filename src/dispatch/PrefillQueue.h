// Queue of requests that wait at this instance until an engine has prefilled the prompts ahead of
// them.
//
// Callers may send more prompts than the engines of a model can prefill. A queue that is never
// empty then serves no more callers than a short one, but serves all of them late. A request is
// therefore admitted only if its first answer is expected in time, and is refused immediately
// otherwise.
//
// Requests go by priority, then by arrival. If the configuration has client accounts, the accounts
// share the engines in start-time fair order within a priority, and the priority of a request
// improves while it waits, so that none starves.
#pragma once

#include "base/FairOrder.h"
#include "base/Time.h"
#include "dispatch/QueuePlace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tray {

class PrefillQueue
{
public:
    using Ticket = uint64_t;

    /// Lifetime of the measured send intervals and first-answer times; older ones say nothing about
    /// the present.
    static constexpr Duration SampleLifetime = std::chrono::seconds(2);
    /// Weight of a new sample in the running means.
    static constexpr double SampleWeight = 0.2;

    /// What is known of a model's engines without any samples.
    struct EngineEstimate
    {
        /// Expected time from sending a prompt to its first answer at the best engine, in ms; used
        /// while there are no samples.
        double firstAnswerMs = 0;
        /// Engines that hold the model, each counted as its speed against the fastest ones; their
        /// number if the service reports no pace.
        double count = 1;
    };

    /// Place of a request among those of other client accounts; given only if the configuration
    /// has accounts.
    struct FairShare
    {
        /// Digest of the account's name; 0 for requests without an account, which share like one.
        uint64_t account = 0;
        Instant arrived{};
        /// Waiting time by which the request's priority improves by one; zero if it does not.
        Duration ageingPeriod{};
    };

    /// Queues a request for an engine that holds its model; the prefill of its prompt takes the
    /// given time.
    Ticket enqueue(const std::string &model, int priority, double prefillMs,
                   std::optional<FairShare> share = std::nullopt);
    /// Removes a request that is sent to an engine.
    void serve(Ticket ticket);
    /// Removes a request that is not served, for which its account is not charged.
    void remove(Ticket ticket);
    /// Place of a queued request.
    QueuePlace placeOf(Ticket ticket, Instant now) const;
    /// Records that a prompt was sent to an engine, whether or not it was queued first.
    void noteSent(const std::string &model, Instant now);
    /// Records the time from sending a prompt to its first answer.
    void noteFirstAnswer(const std::string &model, Duration firstAnswer, Instant now);
    size_t size() const { return this->waiters.size(); }

    /// Predicts the time until the first answer of a new request of this priority (0 goes first).
    /// Other instances send to the same engines, so the wait follows the rate at which prompts
    /// leave a queue that is not empty.
    Duration predictFirstAnswer(const std::string &model, int priority,
                                const EngineEstimate &engines, Instant now,
                                std::optional<FairShare> share = std::nullopt);
    /// Predicts the time until the first answer of a request that is already queued.
    Duration predictFirstAnswer(Ticket ticket, const EngineEstimate &engines, Instant now) const;

private:
    struct Waiter
    {
        std::string model;
        int priority;
        double prefillMs;
        std::optional<FairShare> share;
        double fairTag;
    };

    /// Measured send intervals and first-answer times of a model's prompts.
    struct Flow
    {
        Instant sentAt{};
        // Other prompts were queued when the last one was sent, so the time to the next one shows
        // the rate of the engines.
        bool hadQueueAtSend = false;
        double intervalMs = 0;
        Instant intervalAt{};
        double firstAnswerMs = 0;
        Instant firstAnswerAt{};
    };

    /// Present value of each priority that has waiters with a share.
    using AgedPriorities = std::map<int, int>;

    /// Each priority ages with the oldest request that has it, while the fair order decides which
    /// of its requests goes first. Otherwise an account with many requests would pass the others by
    /// letting its requests age.
    AgedPriorities agePriorities(const std::string &model, Instant now) const;
    static QueuePlace placeOf(const Waiter &waiter, Ticket ticket, const AgedPriorities &aged);
    Duration predictFirstAnswerBehind(const Waiter &request, Ticket ticket,
                                      const EngineEstimate &engines, Instant now) const;
    bool hasWaiters(const std::string &model) const;

    std::map<Ticket, Waiter> waiters;
    std::map<std::string, Flow> flows;
    // Order of the accounts at the engines of each model; empty without accounts.
    std::map<std::string, FairOrder> fairOrders;
    Ticket nextTicket = 1;
};

} // namespace tray
