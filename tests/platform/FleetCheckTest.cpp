// The program check-fleet-config: its exit statuses and what it prints.
#include "fleet/FleetCheck.h"

#include "ConfigFormat.h"
#include "net/JsonFields.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace tray;
using namespace tray::platform;

namespace {

/// A directory that is removed with its files at the end of the test.
class FileDirectory
{
public:
    FileDirectory()
    {
        std::string name = (std::filesystem::temp_directory_path() / "check-XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        this->path = name;
    }
    ~FileDirectory() { std::filesystem::remove_all(this->path); }
    FileDirectory(const FileDirectory &) = delete;
    FileDirectory &operator=(const FileDirectory &) = delete;

    std::string write(const std::string &name, const std::string &text) const
    {
        const auto file = this->path / name;
        std::ofstream(file) << text;
        return file.string();
    }

private:
    std::filesystem::path path;
};

std::string configText(const std::string &service, const std::string &keys)
{
    return fmt::format(R"({{"version":1,"routes":[{{"name":"r1","host":"a.example",)"
                       R"("path_prefix":"/x/","kind":"safe","timeout_ms":900,"goal_ms":500,)"
                       R"("service":"{}"}}],"services":[{{"name":"shop","max_conns":9}}],)"
                       R"("tenants":[{{"name":"red","api_keys":[{}]}}]}})",
                       service, keys);
}

} // namespace

TEST_CASE("check-fleet-config tells by its exit status what it found")
{
    const FileDirectory directory;
    const auto sound = directory.write("sound", configText("shop", R"("sk-1","sk-2")"));
    const auto faulty = directory.write("faulty", configText("desk", R"("sk-2")"));
    const auto broken = directory.write("broken", configText("shop", R"("sk-1",7)"));
    std::ostringstream out;
    std::ostringstream errors;
    const auto check = [&](const std::string &file, const std::string &previous = "",
                           FleetCheckFormat format = FleetCheckFormat::Table) {
        out.str("");
        errors.str("");
        const int status = checkFleetConfig({file, previous, format}, ConfigFormat(), out, errors);
        CHECK((out.str() + errors.str()).find("sk-") == std::string::npos);
        return status;
    };
    CHECK(check(sound) == FleetCheckClean);
    CHECK(out.str().empty());
    CHECK(check(sound, faulty) == FleetCheckClean);

    SUBCASE("findings are rows of a table")
    {
        CHECK(check(faulty) == FleetCheckFindings);
        CHECK(out.str() == faulty + ":1  unknown_service  route r1  /routes/0/service  there is no "
                                    "service desk\n");
        CHECK(check(faulty, sound) == FleetCheckFindings);
        CHECK(out.str() ==
              faulty +
                  ":1  unknown_service   route r1     /routes/0/service    there is no "
                  "service desk\n" +
                  faulty +
                  ":1  keys_taken        account red  /tenants/0/api_keys  1 of its keys "
                  "are no longer valid\n" +
                  faulty +
                  ":1  services_changed  route r1     /routes/0/service    requests go to "
                  "desk instead of shop\n");
    }
    SUBCASE("or a JSON array")
    {
        CHECK(check(faulty, sound, FleetCheckFormat::Json) == FleetCheckFindings);
        const auto document = parseJson(out.str());
        REQUIRE(isOk(document));
        REQUIRE(value(document).as_array().size() == 3);
        CHECK(value(document).at(1).at("finding").as_string() == "keys_taken");
        CHECK(value(document).at(1).at("subject").as_string() == "account red");
        CHECK(value(document).at(1).at("file").as_string() == faulty);
        CHECK(value(document).at(1).at("line").as_int64() == 1);
        CHECK(value(document).at(1).at("field").as_string() == "/tenants/0/api_keys");
        CHECK_FALSE(value(document).at(1).at("harmless").as_bool());
        CHECK(value(document).at(2).at("harmless").as_bool());
        CHECK(check(sound, "", FleetCheckFormat::Json) == FleetCheckClean);
        CHECK(out.str() == "[]\n");
    }
    SUBCASE("a file that cannot be read is no finding")
    {
        for (const auto &file : {broken, sound + "-missing", directory.write("empty", ""),
                                 directory.write("text", "sk-1"), directory.write("list", "[]")}) {
            CHECK(check(file) == FleetCheckUnreadable);
            CHECK(check(sound, file) == FleetCheckUnreadable);
            CHECK(errors.str().find(file) == 0);
            CHECK(out.str().empty());
        }
    }
}

TEST_CASE("check-fleet-config tells the line and the field of what it finds")
{
    const FileDirectory directory;
    std::ostringstream out;
    std::ostringstream errors;
    const auto check = [&](const std::string &file, const std::string &previous = "") {
        out.str("");
        errors.str("");
        return checkFleetConfig({file, previous, FleetCheckFormat::Table}, ConfigFormat(), out,
                                errors);
    };
    const std::string text = R"({"version": 1,
 "routes": [
  {"name": "r1", "host": "a.example", "path_prefix": "/x/", "kind": "safe",
   "timeout_ms": 900,
   "service": "shop",
   "split": [{"service": "shop", "weight": 1},
             {"service": "shop", "weight": 1}]},
  {"name": "r2", "host": "a.example", "path_prefix": "/y/", "kind": "safe",
   "timeout_ms": 900, "split": [
    {"service": "shop", "weight": 1}]}],
 "services": [{"name": "shop",
   "engine": {"weights_mb": 10, "models": [
     {"name": "m1", "weights_mb": 10},
     {"name": "m2", "weights_mb": 9}]}}],
 "limits": {
   "max_body_bytes": 1000},
 "tenants": [
  {"name": "red",
   "api_keys": ["sk-1",
                "sk-2"],
   "burst": 5}]}
)";
    const auto changed = [&](const std::string &from, const std::string &to) {
        REQUIRE(text.find(from) != std::string::npos);
        auto copy = text;
        return directory.write("changed", copy.replace(text.find(from), from.size(), to));
    };
    const auto sound = directory.write("sound", text);
    CHECK(check(sound) == FleetCheckClean);

    SUBCASE("findings")
    {
        const auto checkFinding = [&](const std::string &file, size_t line,
                                      const std::string &field) {
            CHECK(check(file) == FleetCheckFindings);
            CHECK(out.str().starts_with(fmt::format("{}:{} ", file, line)));
            CHECK(out.str().find(" " + field + " ") != std::string::npos);
        };
        checkFinding(changed(R"("service": "shop",)", R"("service": "gone",)"), 5,
                     "/routes/0/service");
        checkFinding(changed(R"(             {"service": "shop")", R"({"service": "gone")"), 7,
                     "/routes/0/split/1");
        checkFinding(changed(R"(    {"service": "shop", "weight": 1}]}],)",
                             R"(    {"service": "gone", "weight": 1}]}],)"),
                     10, "/routes/1/split/0");
        checkFinding(changed(R"("weights_mb": 9)", R"("weights_mb": 11)"), 14,
                     "/services/0/engine/models/1");
        // A model without a name is not decoded, but counts in the document.
        checkFinding(changed(R"({"name": "m1", "weights_mb": 10})",
                             R"({"weights_mb": 10}, {"name": "m1", "weights_mb": 11})"),
                     13, "/services/0/engine/models/1");
    }
    SUBCASE("losses, in the file that has the value")
    {
        const auto lower = changed("1000}", "999}");
        CHECK(check(lower, sound) == FleetCheckFindings);
        CHECK(out.str().starts_with(lower + ":16 "));
        const auto gone = changed("/y/", "/z/");
        CHECK(check(gone, sound) == FleetCheckFindings);
        CHECK(out.str().starts_with(sound + ":8 "));
        CHECK(out.str().find("\n" + gone + ":8 ") != std::string::npos);
    }
    SUBCASE("changes that are harmless, which leave the exit status at 0")
    {
        const auto higher = changed("1000}", "1001}");
        CHECK(check(higher, sound) == FleetCheckClean);
        CHECK(out.str().starts_with(higher + ":16 "));
        CHECK(out.str().find(" limit_raised ") != std::string::npos);
    }
    SUBCASE("errors")
    {
        const auto checkError = [&](const std::string &file, const std::string &start) {
            CHECK(check(file) == FleetCheckUnreadable);
            CHECK(errors.str().starts_with(file + ":" + start));
            CHECK(errors.str().find("sk-") == std::string::npos);
            CHECK(out.str().empty());
        };
        checkError(changed(R"("timeout_ms": 900,)", R"("timeout_ms": "900",)"),
                   "4: /routes/0/timeout_ms: timeout_ms of route r1 ");
        checkError(changed(R"("path_prefix": "/y/", )", ""), "8: /routes/1/path_prefix: ");
        checkError(changed(R"(             {"service": "shop")", R"({"service": 7)"),
                   "7: /routes/0/split/1: ");
        checkError(changed(R"({"name": "shop")", R"({"name": 1)"), "11: /services/0/name: ");
        checkError(changed(R"("sk-2")", "2"), "20: /tenants/0/api_keys/1: ");
        checkError(changed(R"("burst": 5)", R"("burst": -5)"), "18: /tenants/0: ");
        checkError(changed(R"("burst": 5)", R"("burst": [5])"), "21: /tenants/0/burst: ");
        checkError(changed(R"({"name": "red")", R"({"name": "blue", "api_keys": ["sk-1"]},
  {"name": "red")"),
                   "17: /tenants: ");
        checkError(changed(R"("version": 1,)", R"("version": -1,)"), "1: /version: ");
        checkError(changed(R"("timeout_ms": 900,)", R"("timeout_ms": 900)"), "5: not valid JSON: ");
    }
}

TEST_CASE("check-fleet-config compares attempts with the instance list")
{
    const FileDirectory directory;
    const auto config = directory.write("config", configText("shop", ""));
    std::ostringstream out;
    std::ostringstream errors;
    const auto check = [&](const std::string &list) {
        out.str("");
        errors.str("");
        return checkFleetConfig(
            {config, "", FleetCheckFormat::Table, directory.write("list", list)}, ConfigFormat(),
            out, errors);
    };
    const auto item = [](const std::string &name, const std::string &state) {
        return fmt::format(R"({{"metadata":{{"name":"{}"}},"spec":{{"service":"shop",)"
                           R"("address":"127.0.0.1:80","zone":"a","slots":1,"state":"{}",)"
                           R"("sequence":0}}}})",
                           name, state);
    };
    CHECK(check(fmt::format(R"({{"items":[{}],"more":false}})", item("i-1", "ready"))) ==
          FleetCheckClean);
    CHECK(out.str().empty());

    SUBCASE("entries that drain or cannot be decoded are not counted")
    {
        CHECK(check(fmt::format(R"({{"items":[{},{{}}]}})", item("i-1", "draining"))) ==
              FleetCheckFindings);
        CHECK(out.str() == config + ":1  too_many_attempts  route r1  /routes/0/max_attempts  up "
                                    "to 1 attempts, but service shop has 0 upstreams\n");
    }
    SUBCASE("a list that is not whole is refused")
    {
        for (const auto &[text, field] : std::vector<std::pair<std::string, std::string>>{
                 {"{\n\"items\":[],\n\"more\":true}", ":3: /more: "},
                 {"{\n\"items\":[],\n\"more\":\"yes\"}", ":3: /more: "},
                 {"{\n\"objects\":[]}", ":1: /items: "},
                 {"{\n\"items\":[}", ":2: not valid JSON"}}) {
            CHECK(check(text) == FleetCheckUnreadable);
            CHECK(errors.str().find("list" + field) != std::string::npos);
            CHECK(out.str().empty());
        }
    }
}
