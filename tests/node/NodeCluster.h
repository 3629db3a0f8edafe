// Runs several control nodes in one process with a stand-in for the platform.
#pragma once

#include "FakePlatform.h"
#include "base/Hash.h"
#include "node/ControlNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <future>
#include <memory>
#include <spdlog/spdlog.h>
#include <thread>
#include <vector>

namespace tray::test {

/// Control node with its own context and thread, so that it can be stopped before the others.
struct TestNode
{
    boost::asio::io_context context;
    Metrics metrics;
    EventRing events;
    std::unique_ptr<ControlNode> node;
    Address control;
    std::thread thread;

    ~TestNode() { this->kill(); }

    void run()
    {
        // The logger is created by its first user, which must not be one of several threads: its
        // library is not built with ThreadSanitizer, which therefore does not see in which order
        // the logger is created and used.
        spdlog::default_logger();
        this->thread = std::thread([this] { this->context.run(); });
    }

    /// Ends the node abruptly, as the death of its process would.
    void kill()
    {
        if (!this->thread.joinable())
            return;
        this->context.stop();
        this->thread.join();
        this->node.reset();
    }

    /// Runs a coroutine on the node's context and returns its result.
    template <typename T>
    T wait(boost::asio::awaitable<T> task)
    {
        return boost::asio::co_spawn(this->context, std::move(task), boost::asio::use_future).get();
    }
};

/// Stand-in for the platform on a thread of its own.
struct TestPlatform
{
    explicit TestPlatform(uint32_t lagMs = 50) : settings(make(lagMs)), platform(context, settings)
    {
        this->address = this->addListener();
        this->thread = std::thread([this] {
            const auto guard = boost::asio::make_work_guard(this->context);
            this->context.run();
        });
    }
    ~TestPlatform()
    {
        this->context.stop();
        this->thread.join();
    }

    static proto::FakePlatformSection make(uint32_t lagMs)
    {
        proto::FakePlatformSection section;
        section.set_list_lag_ms(lagMs);
        section.set_leaving_ms(10000);
        return section;
    }
    Address addListener() { return value(this->platform.listen({"127.0.0.1", 0})); }
    void fault(const boost::json::object &fields) { (void)this->platform.setFault(fields); }

    boost::asio::io_context context;
    proto::FakePlatformSection settings;
    FakePlatform platform;
    Address address;
    std::thread thread;
};

inline proto::PlatformSection platformSection(const Address &address)
{
    proto::PlatformSection section;
    section.set_address(toString(address));
    section.set_timeout_ms(1000);
    return section;
}

inline proto::ControlSection controlSection()
{
    proto::ControlSection section;
    section.set_listen("127.0.0.1:0");
    section.set_sync_interval_ms(500);
    section.set_request_timeout_ms(1000);
    section.set_stale_after_ms(3000);
    return section;
}

inline std::unique_ptr<TestNode> startNode(const NodeIdentity &identity, const Address &platform,
                                           const std::string &peers = "")
{
    auto made = std::make_unique<TestNode>();
    auto control = controlSection();
    control.set_peers(peers);
    made->node = std::make_unique<ControlNode>(made->context, identity, platformSection(platform),
                                               control, made->metrics, made->events);
    made->control = value(made->node->listen());
    made->node->start({"127.0.0.1", 1});
    made->run();
    return made;
}

/// Value of a metric without labels on a node's metrics page; 0 if the page lacks it.
inline double metricOf(const TestNode &made, const std::string &name)
{
    const std::string page = "\n" + made.metrics.page();
    const auto at = page.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size() + 2));
}

/// Waits until the condition holds. Returns false if it does not hold within the limit.
inline bool eventually(Duration limit, const std::function<bool()> &holds)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

} // namespace tray::test
