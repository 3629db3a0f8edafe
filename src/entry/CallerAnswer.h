// Forwards an upstream's answer to the caller: complete answers in one piece, streams as their
// pieces arrive.
#pragma once

#include "entry/AnswerSink.h"
#include "net/HttpServer.h"

namespace tray {

/// How an answer is forwarded.
struct AnswerMode
{
    /// Pieces are sent as soon as they arrive. Otherwise they are buffered until the answer is
    /// complete, so that the request can be retried at another upstream until then.
    bool stream = false;
    /// A copy is kept for the claim, and the answer is received to its end even if the caller has
    /// disconnected.
    bool keepCopy = false;
    /// Size limit of the buffer in bytes. Longer answers are sent in pieces.
    size_t bufferLimit = 4u << 20;
};

/// Forwards the answer of one request to its caller.
class CallerAnswer : public AnswerSink
{
public:
    CallerAnswer(HttpResponder &responder, AnswerMode mode) : responder(responder), mode(mode) {}

    boost::asio::awaitable<bool> onHead(proto::ResponseHead head) override;
    boost::asio::awaitable<bool> onData(std::string data) override;
    bool isAbandoned() override;
    bool isStarted() const override { return this->started; }

    /// Sends the buffered data and ends the answer. Returns false if the caller has disconnected.
    boost::asio::awaitable<bool> complete();
    /// Discards the buffered data before another attempt. May be called only while nothing has been
    /// sent to the caller.
    void reset();

    int status() const { return static_cast<int>(this->head.status()); }
    std::string contentType() const;
    /// Returns whether a copy of the answer was kept for the claim; false if the answer was too
    /// long.
    bool hasCopy() const { return this->mode.keepCopy && !this->copyDropped; }
    std::string takeCopy() { return std::move(this->copy); }

private:
    boost::asio::awaitable<bool> send(std::string data);
    HttpHeaders answerHeaders() const;

    // Size limit of copies. Longer answers cannot be replayed.
    static constexpr size_t MaxCopyBytes = 8u << 20;

    HttpResponder &responder;
    const AnswerMode mode;
    proto::ResponseHead head;
    std::string buffered;
    std::string copy;
    bool copyDropped = false;
    bool started = false;
    bool callerGone = false;
};

} // namespace tray
