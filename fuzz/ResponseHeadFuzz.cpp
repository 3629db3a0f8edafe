// Fuzzes the reading of response heads with their status lines, as HttpClient reads them, and the
// codec that decodes them. Guards against crashes, and against a response that is no final one of
// HTTP and yet says something about its request.
#include "HeaderCodec.h"
#include "base/HttpStatus.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace tray;
    namespace http = boost::beast::http;
    boost::asio::const_buffer rest(data, size);
    const platform::HeaderCodec codec;
    // Each response that is not the last one is an interim one.
    while (true) {
        http::response_parser<http::empty_body> parser;
        boost::system::error_code code;
        const size_t used = parser.put(rest, code);
        if (code || !parser.is_header_done())
            return 0;
        const int status = parser.get().result_int();
        const auto kind = httpStatusKind(status);
        if (kind == HttpStatusKind::Invalid)
            return 0;
        HttpHeaders headers;
        for (const auto &field : parser.get())
            headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        if (kind == HttpStatusKind::Final) {
            const auto properties = codec.decodeResponse(status, headers);
            codec.makeCallerHeaders(headers);
            if (properties.isNotExecuted && status / 100 != 4 && status / 100 != 5)
                std::abort();
            return 0;
        }
        if (used == 0)
            return 0;
        rest += used;
    }
}
