// Passes an answer on to the caller: whole answers in one piece, streams as they arrive.
#pragma once

#include "entry/AnswerSink.h"
#include "net/HttpServer.h"

namespace tray {

/// How an answer is passed on.
struct AnswerMode
{
    /// Pieces are sent at once. Otherwise they are held back until the answer is whole, so that
    /// another upstream can be tried until then.
    bool stream = false;
    /// A copy is kept for the claim, and the answer is received to its end even if the caller has
    /// gone.
    bool keepCopy = false;
    /// Answers longer than this are sent in pieces.
    size_t bufferLimit = 4u << 20;
};

/// Answer to one caller.
class CallerAnswer : public AnswerSink
{
public:
    CallerAnswer(HttpResponder &responder, AnswerMode mode) : responder(responder), mode(mode) {}

    boost::asio::awaitable<bool> onHead(proto::ResponseHead head) override;
    boost::asio::awaitable<bool> onData(std::string data) override;
    bool isAbandoned() override;
    bool isStarted() const override { return this->started; }

    /// Sends what is held back and ends the answer. False if the caller has gone.
    boost::asio::awaitable<bool> complete();
    /// Drops what is held back, for another attempt. Only before anything was sent.
    void reset();

    int status() const { return static_cast<int>(this->head.status()); }
    std::string contentType() const;
    /// Whole answer for the claim; false if it was too long to be kept.
    bool hasCopy() const { return this->mode.keepCopy && !this->copyDropped; }
    std::string takeCopy() { return std::move(this->copy); }

private:
    boost::asio::awaitable<bool> send(std::string data);
    HttpHeaders answerHeaders() const;

    // Bound on copies; longer answers cannot be replayed.
    static constexpr size_t MaxCopyBytes = 8u << 20;

    HttpResponder &responder;
    const AnswerMode mode;
    proto::ResponseHead head;
    std::string held;
    std::string copy;
    bool copyDropped = false;
    bool started = false;
    bool callerGone = false;
};

} // namespace tray
