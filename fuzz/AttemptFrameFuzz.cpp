// Fuzzes the attempt state machine with frames of any content. Guards against crashes, against
// bytes that are counted but not delivered, and against a whole answer with a wrong digest.
#include "base/Hash.h"
#include "routing/AttemptMachine.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    tray::AttemptMachine machine("r", 1, 1, (size & 1) != 0);
    machine.onConnected();
    std::string delivered;
    tray::proto::ResponseEnd end;
    auto step = tray::AttemptStep::Receive;
    // Each frame is one length byte and that many bytes.
    for (size_t at = 0; at < size && step != tray::AttemptStep::Finish;) {
        const size_t length = std::min<size_t>(bytes[at], size - at - 1);
        tray::proto::Frame frame;
        if (frame.ParseFromArray(bytes + at + 1, static_cast<int>(length))) {
            frame.set_request_id("r");
            frame.set_attempt_number(1);
            end = frame.end();
            step = machine.onFrame(frame);
        } else {
            step = machine.onChannelLost();
        }
        at += 1 + length;
        delivered += machine.takeData();
        machine.takeHead();
        if (step == tray::AttemptStep::Dial)
            step = machine.onConnected();
    }
    if (delivered.size() != machine.received())
        std::abort();
    const bool isWhole =
        step == tray::AttemptStep::Finish && machine.outcome().end == tray::AttemptEnd::Complete;
    if (isWhole && end.digest() != tray::hash64(delivered))
        std::abort();
    return 0;
}
