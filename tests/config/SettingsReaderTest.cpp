// Reading of settings. Guards against a misspelt key or a value out of range that goes unnoticed,
// so that a process runs with other settings than the operator wrote. Error messages name file,
// line, key and accepted range.
#include "config/SettingsReader.h"

#include "settings_entry.pb.h"

#include <doctest/doctest.h>

using namespace tray;

namespace {

const std::string ValidText = "[instance]\nid = entry-1\ndata_centre = costa-a\nregion = costa\n"
                              "[platform]\naddress = 127.0.0.1:9000\n";

proto::EntrySettings defaults()
{
    proto::EntrySettings settings;
    applyDefaults(settings);
    return settings;
}

} // namespace

TEST_CASE("Settings of an entry instance are read and checked")
{
    auto settings = defaults();
    SUBCASE("the values of a complete file replace the defaults")
    {
        REQUIRE(isOk(readIni(ValidText, "entry.ini", settings)));
        CHECK(settings.instance().id() == "entry-1");
        CHECK(settings.entry().body_limit_bytes() == 1048576);
        CHECK(isOk(checkRequired(settings, "entry.ini")));
        SUBCASE("the command line overrides a value of the file")
        {
            REQUIRE(isOk(applyOverride("entry.threads=7", settings)));
            CHECK(settings.entry().threads() == 7);
        }
    }
    SUBCASE("a misspelt key is an error that names its line, and is not ignored")
    {
        const auto result = readIni(ValidText + "[entry]\nthread = 4\n", "entry.ini", settings);
        REQUIRE(!isOk(result));
        CHECK(error(result).message.find("entry.ini:8: unknown key 'thread'") == 0);
    }
    SUBCASE("a value out of range is an error that names the accepted range")
    {
        const auto result = readIni("[entry]\n\nthreads = 0\n", "entry.ini", settings);
        REQUIRE(!isOk(result));
        CHECK(error(result).message ==
              "entry.ini:3: key 'entry.threads' has the value '0'; accepted: 1 to 64");
    }
    SUBCASE("a host name is an error where an IP number is required")
    {
        const auto result = readIni("[platform]\naddress = platform:80\n", "e.ini", settings);
        REQUIRE(!isOk(result));
        CHECK(error(result).message.find("IP number and port") != std::string::npos);
    }
    SUBCASE("a missing required key is an error before the process starts")
    {
        const auto result = checkRequired(settings, "e.ini");
        REQUIRE(!isOk(result));
        CHECK(error(result).message.find("instance.id") != std::string::npos);
    }
}
