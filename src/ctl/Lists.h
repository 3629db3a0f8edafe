// Implements `trayctl list`: lists configuration objects, upstreams, instances and the placement.
#pragma once

#include "base/EnumNames.h"
#include "ctl/CtlSession.h"

#include <string>

namespace tray {

/// Output format.
enum class OutputFormat { Table, Json };

template <>
struct EnumNames<OutputFormat>
{
    static constexpr auto Table = std::to_array<EnumName<OutputFormat>>({
        {OutputFormat::Table, "table"},
        {OutputFormat::Json, "json"},
    });
};

/// Kinds of things that can be listed.
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

/// Returns a list as text. Configuration objects are read from the platform, all else from the
/// process that is given by --entry.
Result<std::string> formatList(CtlSession &session, ListKind kind, OutputFormat format);

} // namespace tray
