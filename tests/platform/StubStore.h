// Stub of the platform's store: objects by kind and name, paged lists and watches. Reads targets as
// a server with a form decoder does: a plus sign in a query is a space, the last of two parameters
// counts, and what is not encoded as it must be is answered with 400.
#pragma once

#include "net/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace tray::test {

class StubStore
{
public:
    explicit StubStore(boost::asio::io_context &context);

    Address listen();
    /// Writes an object as the operators or the engines do.
    void put(const std::string &kind, const std::string &name, const std::string &specJson);
    void remove(const std::string &kind, const std::string &name);

    /// Maximum number of objects on one page of a list.
    size_t pageSize = 100;
    /// Replaces "more" in the pages of lists.
    std::optional<boost::json::value> more;
    /// Number of next requests that are answered with 429.
    int overRate = 0;
    /// Names of objects that every write is refused for with 400.
    std::set<std::string> refusedNames;
    /// Answers every request with 503.
    bool respond503 = false;
    /// Kinds of objects for which every request is answered with 503.
    std::set<std::string> failingKinds;
    /// Accepts requests without ever answering them; pending watches are not answered, either.
    bool neverRespond = false;
    /// Cuts off the waiting watches of a kind of objects.
    void cutWatches(const std::string &kind) { ++this->cutCounts[kind]; }
    /// Number of answers to watches of a kind of objects that are lost: they are never sent.
    std::map<std::string, int> lostWatchAnswers;
    /// Drops the history of changes, so that watches from older revisions are answered with 410.
    void compactHistory()
    {
        this->changes.clear();
        this->oldestRevision = this->revision;
    }
    /// A copy of all objects.
    struct Copy
    {
        uint64_t revision = 0;
        std::map<std::string, std::map<std::string, boost::json::value>> kinds;
    };

    Copy makeCopy() const { return {this->revision, this->kinds}; }
    /// Comes back from a copy: what was written since is gone, its revisions are given out again,
    /// and a new era begins. Waiting watches are cut off unless keepsWatches is set.
    void restore(const Copy &copy);
    bool keepsWatches = false;
    uint64_t era = 1;
    /// Returns the text of an object's spec; empty if there is no such object.
    std::string specOf(const std::string &kind, const std::string &name) const;
    /// Number of objects of a kind.
    size_t countOf(const std::string &kind) const;
    uint64_t currentRevision() const { return this->revision; }

    /// JSON strings in objects that are replaced by other text in lists and watches, which need not
    /// be valid JSON.
    std::map<std::string, std::string> placeholders;
    int requestCount = 0;
    /// Requests for each kind of objects.
    std::map<std::string, int> requestsByKind;
    /// Requests that were answered with 400, with the target or name that cannot be read.
    std::vector<std::string> badRequests;
    /// Called before each page of a list, if set.
    std::function<void()> beforeList;

private:
    struct Change
    {
        uint64_t revision;
        std::string kind;
        bool removed;
        boost::json::value object;
    };

    /// Kind, name and query of a request, all decoded.
    struct Call
    {
        std::string kind;
        std::string name;
        std::map<std::string, std::string> query;
    };

    boost::asio::awaitable<void> serve(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> watch(Call call, HttpResponder &responder);
    boost::asio::awaitable<void> waitForever();
    /// Decodes a target strictly; nullopt if any part of it is not encoded as it must be.
    static std::optional<Call> parseCall(std::string_view target);
    HttpResponse reject(std::string what);
    /// Sends an answer with the headers that all answers have.
    boost::asio::awaitable<void> send(HttpResponder &responder, HttpResponse response);
    HttpResponse list(const Call &call) const;
    HttpResponse write(const Call &call, const HttpRequest &request);
    void store(const std::string &kind, const std::string &name, boost::json::value spec);

    boost::asio::io_context &context;
    HttpServer server;
    uint64_t revision = 100;
    uint64_t oldestRevision = 0;
    std::map<std::string, std::map<std::string, boost::json::value>> kinds;
    std::deque<Change> changes;
    // Number of times that the watches of a kind were cut off.
    std::map<std::string, int> cutCounts;
};

} // namespace tray::test
