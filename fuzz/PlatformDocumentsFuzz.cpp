// Fuzzes the decoders of the platform's JSON documents: configuration, upstream entries, engine
// reports, stored objects and settings, and the search for the line of an error. Guards against
// crashes.
#include "ConfigFormat.h"
#include "FleetJson.h"
#include "PlatformSettings.h"
#include "net/JsonFields.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace tray;
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto settings = platform::readPlatformSettings(text);
    const platform::ConfigFormat format;
    if (const auto parsed = format.decode(text); !isOk(parsed))
        format.locate(text, error(parsed));
    const auto counts = format.countUpstreams(text);
    const auto document = parseJson(text);
    if (!isOk(document))
        return 0;
    const auto config = platform::decodeFleetConfig(value(document));
    if (isOk(config)) {
        for (const auto &route : value(config).routes)
            chooseService(route, size);
    }
    platform::decodeUpstreamEntry("i-1", value(document));
    const auto report = platform::decodeEngineReport(value(document));
    platform::decodeStoredObject(value(document));
    return 0;
}
