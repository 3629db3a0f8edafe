// Model engine of a soak: holds models in bounded memory and takes orders as the platform's pages
// say. It counts what it is ordered to hold, so that a broken promise shows where it does harm.
#pragma once

#include "StubUpstream.h"

#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace tray::test {

class ModelEngine
{
public:
    /// What the engine needs of the world around it.
    struct Ports
    {
        std::function<int(int low, int high)> pick;
        /// Runs a request for a model that is held.
        StubUpstream::Behaviour run;
        std::function<void(const std::string &text)> violate;
        /// The engine's entry in the instance list has changed.
        std::function<void()> changed;
    };

    static constexpr double MemoryMb = 100;
    /// Models and their weights in MB. Any two fit, three do not.
    static const std::map<std::string, int> &models();

    ModelEngine(boost::asio::io_context &context, Ports ports);

    Address listen() { return this->server.listen(); }
    /// Begins a life with a new start time; orders, models and tokens of the last one are gone.
    void start(const std::string &id, const std::set<std::string> &models);
    /// Fields of the entry in the instance list and of the report.
    boost::json::object describe() const;
    const std::string &id() const { return this->name; }
    int orders() const { return this->accepted; }

private:
    struct Order
    {
        std::string verb;
        std::string model;
        std::string holder;
        std::string upstreamId;
        uint64_t fence = 0;
        std::optional<uint64_t> expected;
    };

    StubReply serve(const HttpRequest &request);
    StubReply report() const;
    StubReply takeOrder(const HttpRequest &request);
    /// Decides an order; returns the status of its answer.
    int decide(const Order &order, Instant now);
    void checkAuthority(const Order &order);
    boost::asio::awaitable<void> carryOut(Order order, Duration time);
    boost::asio::awaitable<void> decideLater(Order order, Duration delay);
    int usedMb() const;

    boost::asio::io_context &context;
    const Ports ports;
    StubUpstream server;
    std::string name;
    // Identifies a life among those with the same name.
    uint64_t life = 0;
    uint64_t startedAtMs = 0;
    uint64_t sequence = 0;
    uint64_t highestFence = 0;
    std::set<std::string> held;
    // Copies on the host; those on disk outlive a life.
    std::set<std::string> inMemory;
    std::set<std::string> onDisk;
    // The order about a model that is under way.
    std::optional<Order> underWay;
    // Time until which the runs of a model last.
    std::map<std::string, Instant> runsUntil;
    // Over all lives: the only holder of orders, and the highest token of an order that arrived.
    std::string onlyHolder;
    uint64_t highestArrived = 0;
    int accepted = 0;
};

} // namespace tray::test
