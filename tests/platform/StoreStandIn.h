// Stand-in for the platform's store: objects by kind and name, lists in pages, and watches.
#pragma once

#include "net/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>
#include <deque>
#include <map>

namespace tray::test {

class StoreStandIn
{
public:
    explicit StoreStandIn(boost::asio::io_context &context);

    Address listen();
    /// Puts an object as the operators or the engines do.
    void put(const std::string &kind, const std::string &name, const std::string &specJson);
    void remove(const std::string &kind, const std::string &name);

    /// Objects on one page of a list.
    size_t pageSize = 100;
    /// Answers 503 to everything.
    bool refusing = false;
    /// Takes calls and never answers them, nor the watches that wait.
    bool silent = false;
    /// Drops the history, so that watches of older revisions get 410.
    void forgetHistory()
    {
        this->changes.clear();
        this->historyBegins = this->revision;
    }
    int calls = 0;

private:
    struct Change
    {
        uint64_t revision;
        std::string kind;
        bool removed;
        boost::json::value object;
    };

    boost::asio::awaitable<void> serve(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> watch(const std::string &kind, HttpRequest request,
                                       HttpResponder &responder);
    boost::asio::awaitable<void> neverAnswer();
    HttpResponse list(const std::string &kind, const std::string &target) const;
    HttpResponse write(const std::string &kind, const std::string &name,
                       const HttpRequest &request);
    void store(const std::string &kind, const std::string &name, boost::json::value spec);

    boost::asio::io_context &context;
    HttpServer server;
    uint64_t revision = 100;
    uint64_t historyBegins = 0;
    std::map<std::string, std::map<std::string, boost::json::value>> kinds;
    std::deque<Change> changes;
};

} // namespace tray::test
