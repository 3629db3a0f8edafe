// Fuzzes the attempt state machine with frames of any content. Guards against crashes, against
// bytes that are counted but not delivered, and against a response that is taken as complete
// although its digest is wrong or its status is not one of HTTP.
#include "base/Hash.h"
#include "base/HttpStatus.h"
#include "routing/AttemptMachine.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    tray::AttemptMachine machine("r", 1, 1, (size & 1) != 0);
    machine.onConnected();
    std::string delivered;
    tray::proto::ResponseEnd end;
    auto step = tray::AttemptStep::Receive;
    // Each frame is a length byte, followed by that many bytes. Bytes that are no valid frame
    // simulate the loss of the channel.
    for (size_t position = 0; position < size && step != tray::AttemptStep::Finish;) {
        const size_t length = std::min<size_t>(bytes[position], size - position - 1);
        tray::proto::Frame frame;
        if (frame.ParseFromArray(bytes + position + 1, static_cast<int>(length))) {
            frame.set_request_id("r");
            frame.set_attempt_number(1);
            end = frame.end();
            step = machine.onFrame(frame);
        } else {
            step = machine.onChannelLost();
        }
        position += 1 + length;
        delivered += machine.takeData();
        const auto head = machine.takeHead();
        if (head && tray::httpStatusKind(head->status()) != tray::HttpStatusKind::Final)
            std::abort();
        if (step == tray::AttemptStep::Dial)
            step = machine.onConnected();
    }
    if (delivered.size() != machine.received())
        std::abort();
    const bool isComplete =
        step == tray::AttemptStep::Finish && machine.outcome().end == tray::AttemptEnd::Complete;
    if (isComplete && end.digest() != tray::hash64(delivered))
        std::abort();
    return 0;
}
