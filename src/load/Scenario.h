// Scenario of a load run, read from a settings file with one [load] section and families of
// sections for entry instances, client accounts, flows, faults and counters.
#pragma once

#include "base/Address.h"
#include "base/Result.h"

#include "settings_load.pb.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Returns the names of the families of sections in a scenario file.
const std::vector<std::string> &scenarioFamilies();

/// Parameters of a run. The keys of the maps are the names after the dot in the section heads.
struct Scenario
{
    proto::LoadSection load;
    std::map<std::string, proto::LoadEntrySettings> entries;
    std::map<std::string, proto::LoadClientAccountSettings> clientAccounts;
    std::map<std::string, proto::LoadFlowSettings> flows;
    std::map<std::string, proto::LoadFaultSettings> faults;
    std::map<std::string, proto::LoadCounterSettings> counters;
};

/// Reads the families of sections of a scenario file and checks that the sections that a flow
/// refers to exist. Fails with InvalidSettings.
Result<Scenario> readScenario(const proto::LoadSection &load, const std::string &text,
                              const std::string &fileName);

/// Splits a text at commas. Spaces around the parts are trimmed and empty parts are left out.
std::vector<std::string> splitCommas(const std::string &text);

/// Parses the addresses of a comma-separated list that the settings reader has already checked.
std::vector<Address> parseAddressList(const std::string &list);

} // namespace tray
