// Runs RapidCheck properties with a fixed seed and a fixed number of cases, so that CI results are
// reproducible.
#pragma once

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace tray::test {

/// Seed of a property run: the environment variable FUZZ_SEED if set, otherwise the test's own
/// seed.
inline uint64_t propertySeed(uint64_t testDefault)
{
    const char *fromEnvironment = std::getenv("FUZZ_SEED");
    return fromEnvironment != nullptr ? std::strtoull(fromEnvironment, nullptr, 10) : testDefault;
}

/// Number of cases of a property run: the environment variable FUZZ_RUNS if set, otherwise the
/// test's own number.
inline int propertyRuns(int testDefault)
{
    const char *fromEnvironment = std::getenv("FUZZ_RUNS");
    return fromEnvironment != nullptr ? std::atoi(fromEnvironment) : testDefault;
}

/// Checks a property with the given seed and number of cases. A failure is reported through doctest
/// with its seed and its shrunk case.
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
