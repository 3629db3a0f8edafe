// Fuzzes the codec of callers' and upstreams' headers. Each input line NAME:TEXT is a header.
// Guards against crashes.
#include "HeaderCodec.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace tray;
    std::string_view text(reinterpret_cast<const char *>(data), size);
    HttpRequest request;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos)
            request.headers.emplace_back(std::string(line.substr(0, colon)),
                                         std::string(line.substr(colon + 1)));
        text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    const platform::HeaderCodec codec;
    const auto properties = codec.decodeRequest(request);
    codec.makeUpstreamRequest(request, ForwardOptions{});
    codec.decodeResponse(200, request.headers);
    codec.makeCallerHeaders(request.headers);
    return 0;
}
