// Buffers and copies the pieces of an answer, and writes them to the caller.
#include "entry/CallerAnswer.h"

#include "entry/CallerRequest.h"

#include <cassert>

namespace tray {

namespace asio = boost::asio;

asio::awaitable<bool> CallerAnswer::onHead(proto::ResponseHead received)
{
    this->head = std::move(received);
    co_return true;
}

asio::awaitable<bool> CallerAnswer::onData(std::string data)
{
    if (this->mode.keepCopy && !this->copyDropped) {
        this->copyDropped = this->copy.size() + data.size() > MaxCopyBytes;
        if (!this->copyDropped)
            this->copy += data;
    }
    if (!this->mode.stream && !this->started &&
        this->buffered.size() + data.size() <= this->mode.bufferLimit) {
        if (this->buffered.empty())
            this->buffered = std::move(data);
        else
            this->buffered += data;
        co_return true;
    }
    const bool sent = co_await this->send(std::move(data));
    co_return sent || this->mode.keepCopy;
}

asio::awaitable<bool> CallerAnswer::send(std::string data)
{
    if (this->callerGone)
        co_return false;
    bool ok = true;
    if (!this->started) {
        this->started = true;
        HttpHeaders headers = this->answerHeaders();
        ok = co_await this->responder.start(this->status(), std::move(headers));
        if (ok && !this->buffered.empty())
            ok = co_await this->responder.write(std::move(this->buffered));
        this->buffered.clear();
    }
    if (ok)
        ok = co_await this->responder.write(std::move(data));
    this->callerGone = !ok;
    co_return ok;
}

asio::awaitable<bool> CallerAnswer::complete()
{
    if (this->callerGone)
        co_return false;
    if (this->started)
        co_return co_await this->responder.finish();
    this->started = true;
    HttpResponse response;
    response.status = this->status();
    response.headers = this->answerHeaders();
    response.body = std::move(this->buffered);
    co_return co_await this->responder.respond(std::move(response));
}

void CallerAnswer::reset()
{
    assert(!this->started);
    this->head.Clear();
    this->buffered.clear();
    this->copy.clear();
    this->copyDropped = false;
}

bool CallerAnswer::isAbandoned()
{
    return !this->mode.keepCopy && (this->callerGone || this->responder.isPeerGone());
}

std::string CallerAnswer::contentType() const
{
    return std::string(findHeader(this->answerHeaders(), "Content-Type"));
}

HttpHeaders CallerAnswer::answerHeaders() const
{
    HttpHeaders headers;
    headers.reserve(static_cast<size_t>(this->head.headers_size()));
    for (const auto &header : this->head.headers())
        headers.emplace_back(header.name(), header.value());
    return forwardedHeaders(headers);
}

} // namespace tray
