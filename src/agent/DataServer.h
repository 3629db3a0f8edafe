// The agent's side of the data channel: receives attempts and sends their answers as frames.
#pragma once

#include "agent/AttemptRunner.h"
#include "net/FrameChannel.h"

namespace tray {

/// Serves the channels of entry instances. Runs on the single thread of the context.
class DataServer
{
public:
    DataServer(boost::asio::io_context &context, AttemptRunner &runner, Duration heartbeat,
               Metrics &metrics);

    Result<Address> listen(const Address &address);
    void stop() { this->server.stop(); }

private:
    using Channel = std::shared_ptr<FrameChannel>;
    using Record = AttemptTable::Record;
    /// The attempt that a channel carries, and the number of the connection in its record.
    struct AttachedAttempt
    {
        Record record;
        uint64_t connection = 0;
    };

    /// Progress of an answer on a channel.
    struct AnswerCursor
    {
        uint64_t offset = 0;
        bool admittedSent = false;
        bool headSent = false;
        bool dataSent = false;
        /// The final frame was created.
        bool finalFrameMade = false;
    };

    boost::asio::awaitable<void> serve(Channel channel);
    boost::asio::awaitable<bool> handle(Channel channel, proto::Frame frame,
                                        AttachedAttempt &attached);
    boost::asio::awaitable<void> write(Channel channel, Record record, uint64_t connection,
                                       uint64_t offset);
    boost::asio::awaitable<bool> refuseUnknown(Channel channel, proto::Frame received,
                                               bool mayHaveRun);
    proto::Frame frameFor(const AttemptRecord &record) const;
    /// Fills in the final frame of the attempt. Returns false if there is none yet.
    bool fillFinal(const AttemptRecord &record, uint64_t offset, proto::Frame &frame) const;
    /// Fills in the next frame of the attempt. Returns false if there is nothing to send now.
    bool fillNext(const AttemptRecord &record, AnswerCursor &cursor, proto::Frame &frame) const;

    AttemptRunner &runner;
    const Duration heartbeat;
    Metrics &metrics;
    FrameServer server;
};

} // namespace tray
