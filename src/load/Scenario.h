// Scenario of a load run: settings file with one [load] section and families of sections.
#pragma once

#include "base/Address.h"
#include "base/Result.h"

#include "settings_load.pb.h"

#include <map>
#include <string>
#include <vector>

namespace tray {

/// Families of sections in a scenario file.
const std::vector<std::string> &scenarioFamilies();

/// Everything a run needs to know. Names are those after the dot of a section.
struct Scenario
{
    proto::LoadSection load;
    std::map<std::string, proto::LoadEntrySettings> entries;
    std::map<std::string, proto::LoadClientAccountSettings> clientAccounts;
    std::map<std::string, proto::LoadFlowSettings> flows;
    std::map<std::string, proto::LoadFaultSettings> faults;
    std::map<std::string, proto::LoadCounterSettings> counters;
};

/// Reads the families of a scenario file and checks that they refer to each other properly.
/// Fails with InvalidSettings.
Result<Scenario> readScenario(const proto::LoadSection &load, const std::string &text,
                              const std::string &fileName);

/// Parts of a text that is separated by commas.
std::vector<std::string> splitCommas(const std::string &text);

/// Addresses of a list in a settings file that the settings reader has checked.
std::vector<Address> addressesOf(const std::string &list);

} // namespace tray
