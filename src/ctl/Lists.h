// `trayctl list`: configuration objects, upstreams, instances and placement.
#pragma once

#include "base/EnumNames.h"
#include "ctl/CtlSession.h"

#include <string>

namespace tray {

/// Form of the output.
enum class OutputForm { Table, Json };

template <>
struct EnumNames<OutputForm>
{
    static constexpr auto Table = std::to_array<EnumName<OutputForm>>({
        {OutputForm::Table, "table"},
        {OutputForm::Json, "json"},
    });
};

/// What can be listed.
enum class ListKind {
    Models,
    Adapters,
    Upstreams,
    Tiers,
    ClientAccounts,
    Services,
    Instances,
    Placement
};

template <>
struct EnumNames<ListKind>
{
    static constexpr auto Table = std::to_array<EnumName<ListKind>>({
        {ListKind::Models, "models"},
        {ListKind::Adapters, "adapters"},
        {ListKind::Upstreams, "upstreams"},
        {ListKind::Tiers, "tiers"},
        {ListKind::ClientAccounts, "client_accounts"},
        {ListKind::Services, "services"},
        {ListKind::Instances, "instances"},
        {ListKind::Placement, "placement"},
    });
};

/// Text of a list. Configuration objects come from the platform, the rest from a process.
Result<std::string> makeList(CtlSession &session, ListKind kind, OutputForm form);

} // namespace tray
