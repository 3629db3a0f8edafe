// Fuzzes what is written into the heads of requests. The input is a name from outside. Guards
// against names that are read as something else than they were written as.
#include "net/HttpMessage.h"
#include "net/UriEncoding.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace tray;
    const std::string name(reinterpret_cast<const char *>(data), size);
    HttpRequest request;
    request.target = withQuery("/v1/" + percentEncode(name), {{"after", name}, {"wait_ms", "1"}});
    if (!isOk(checkHead(request)) || queryParameter(request.target, "after") != name ||
        queryParameter(request.target, "wait_ms") != "1" ||
        percentDecode(pathOf(request.target).substr(4)) != name)
        std::abort();
    request.headers.emplace_back("X-Name", name);
    const bool isWritable = isOk(checkHead(request));
    const bool breaksLines = name.find_first_of("\r\n") != std::string::npos;
    if (isWritable != isHeaderValue(name) || (isWritable && breaksLines))
        std::abort();
    return 0;
}
