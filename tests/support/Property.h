// Runs RapidCheck properties with a fixed seed and count, so that CI gives the same verdict every
// run.
#pragma once

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace tray::test {

/// Seed of a property run: FUZZ_SEED if set, otherwise the fixed one of the test.
inline uint64_t propertySeed(uint64_t fixed)
{
    const char *given = std::getenv("FUZZ_SEED");
    return given != nullptr ? std::strtoull(given, nullptr, 10) : fixed;
}

/// Number of cases of a property run: FUZZ_RUNS if set, otherwise the fixed one of the test.
inline int propertyRuns(int fixed)
{
    const char *given = std::getenv("FUZZ_RUNS");
    return given != nullptr ? std::atoi(given) : fixed;
}

/// Checks a property and reports a failure, with its seed and shrunk case, through doctest.
template <typename Property>
void checkProperty(const std::string &name, uint64_t seed, int runs, Property &&property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = propertySeed(seed);
    params.maxSuccess = propertyRuns(runs);
    params.maxSize = 100;
    const auto result =
        rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    INFO("property ", name, ", replay with FUZZ_SEED=", params.seed, "\n", report.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace tray::test
