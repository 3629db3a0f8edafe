// Fuzzes the parser of callers' requests: method, target, headers and body. Guards against crashes,
// against access without a valid credential, and against a credential that is forwarded to
// upstreams.
#include "base/Hash.h"
#include "entry/CallerRequest.h"

#include <cstdlib>

namespace {

std::shared_ptr<const tray::Catalogue> makeCatalogue()
{
    std::vector<tray::proto::CatalogueObject> objects(4);
    objects[0].set_name("gold");
    objects[0].mutable_tier()->set_deadline_ms(1000);
    objects[1].set_name("shop");
    objects[1].mutable_client_account()->set_tier("gold");
    objects[1].mutable_client_account()->add_credential_digests(tray::sha256Hex("secret"));
    objects[2].set_name("m");
    objects[2].mutable_model()->set_max_context_tokens(64);
    objects[3].set_name("s");
    objects[3].mutable_service()->add_non_idempotent_methods("POST");
    return std::make_shared<const tray::Catalogue>(1, objects);
}

/// Removes the first line with its line end from the text and returns it without the line end.
std::string takeLine(std::string_view &rest)
{
    const auto line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    return std::string(line);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    static const auto Snapshot = makeCatalogue();
    if (size == 0)
        return 0;
    std::string_view rest(reinterpret_cast<const char *>(bytes) + 1, size - 1);
    tray::HttpRequest request;
    request.method = takeLine(rest);
    request.target = takeLine(rest);
    // Half of the inputs have a valid credential, to reach the code after the authentication.
    const bool isAuthenticated = (bytes[0] & 1) != 0;
    request.headers.emplace_back("Authorization",
                                 isAuthenticated ? "Bearer secret" : takeLine(rest));
    request.headers.emplace_back(takeLine(rest), "value");
    request.headers.emplace_back("Idempotency-Key", takeLine(rest));
    request.body = std::string(rest);
    const bool hasCredential =
        tray::findHeader(request.headers, "authorization").find("secret") != std::string::npos;
    for (const auto &header : tray::forwardedHeaders(request.headers)) {
        if (header.first == "Authorization")
            std::abort();
    }
    std::string parameter;
    const auto read =
        tray::readCallerRequest(std::move(request), Snapshot, tray::Instant{}, parameter);
    if (tray::isOk(read) && !hasCredential)
        std::abort();
    return 0;
}
