// Agent's side of the data channel: attempts arrive and their answers leave as frames.
#pragma once

#include "agent/AttemptRunner.h"
#include "net/FrameChannel.h"

namespace tray {

/// Serves channels of entry instances. Runs on the context's one thread.
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
    /// The attempt that a channel carries.
    struct Carried
    {
        Record record;
        uint64_t connection = 0;
    };

    /// How far an answer has been written to a channel.
    struct AnswerCursor
    {
        uint64_t offset = 0;
        bool admittedSent = false;
        bool headSent = false;
        bool dataSent = false;
        /// The final frame has been made.
        bool last = false;
    };

    boost::asio::awaitable<void> serve(Channel channel);
    boost::asio::awaitable<bool> handle(Channel channel, proto::Frame frame, Carried &carried);
    boost::asio::awaitable<void> write(Channel channel, Record record, uint64_t connection,
                                       uint64_t offset);
    boost::asio::awaitable<bool> refuseUnknown(Channel channel, proto::Frame about,
                                               bool mayHaveRun);
    proto::Frame frameFor(const AttemptRecord &record) const;
    /// Final frame of the attempt, if there is one.
    bool fillFinal(const AttemptRecord &record, uint64_t offset, proto::Frame &frame) const;
    /// Next frame of the attempt that can be written now, if there is one.
    bool fillNext(const AttemptRecord &record, AnswerCursor &cursor, proto::Frame &frame) const;

    AttemptRunner &runner;
    const Duration heartbeat;
    Metrics &metrics;
    FrameServer server;
};

} // namespace tray
