#include "ctl/Lists.h"

#include "ctl/Output.h"

#include <functional>

namespace tray {

namespace {

using Row = std::vector<std::string>;
using Object = proto::CatalogueObject;

/// Table columns of one kind of configuration object.
struct ObjectList
{
    ListKind kind;
    Object::BodyCase body;
    Row header;
    std::function<Row(const Object &)> makeRow;
};

const std::vector<ObjectList> &objectLists()
{
    const auto number = [](auto count) { return std::to_string(count); };
    static const std::vector<ObjectList> Lists = {
        {ListKind::Models,
         Object::kModel,
         {"NAME", "POOL", "VERSION", "WEIGHT_BYTES", "KV_PER_TOKEN", "CONTEXT", "MIN_REPLICAS",
          "NON_IDEMPOTENT"},
         [=](const Object &object) {
             const auto &model = object.model();
             return Row{object.name(),
                        model.pool(),
                        model.version(),
                        number(model.weight_bytes()),
                        number(model.kv_bytes_per_token()),
                        number(model.max_context_tokens()),
                        number(model.min_replicas()),
                        model.non_idempotent() ? "yes" : "no"};
         }},
        {ListKind::Adapters,
         Object::kAdapter,
         {"NAME", "BASE_MODEL", "VERSION", "BYTES"},
         [=](const Object &object) {
             const auto &adapter = object.adapter();
             return Row{object.name(), adapter.base_model(), adapter.version(),
                        number(adapter.bytes())};
         }},
        {ListKind::Tiers,
         Object::kTier,
         {"NAME", "RANK", "DEADLINE_MS", "FIRST_TOKEN_MS"},
         [=](const Object &object) {
             const auto &tier = object.tier();
             return Row{object.name(), number(tier.rank()), number(tier.deadline_ms()),
                        number(tier.first_token_ms())};
         }},
        {ListKind::ClientAccounts,
         Object::kClientAccount,
         {"NAME", "TIER", "HOME_REGION", "CREDENTIALS"},
         [=](const Object &object) {
             const auto &clientAccount = object.client_account();
             return Row{object.name(), clientAccount.tier(), clientAccount.home_region(),
                        number(clientAccount.credential_digests_size())};
         }},
        {ListKind::Services,
         Object::kService,
         {"NAME", "POOL", "NON_IDEMPOTENT_METHODS"},
         [](const Object &object) {
             std::string methods;
             for (const auto &method : object.service().non_idempotent_methods())
                 methods += (methods.empty() ? "" : ",") + method;
             return Row{object.name(), object.service().pool(), methods};
         }},
    };
    return Lists;
}

Result<std::string> listObjects(CtlSession &session, const ObjectList &list, OutputFormat format)
{
    const auto board = session.readBoard();
    if (!isOk(board))
        return error(board);
    TextTable table(list.header);
    JsonList json;
    for (const auto &[key, object] : value(board).contents()) {
        if (object.body_case() != list.body || object.deleted())
            continue;
        table.add(list.makeRow(object));
        json.add(object);
    }
    return format == OutputFormat::Json ? json.text() : table.text();
}

std::string stateOf(const proto::UpstreamStatus &status)
{
    if (status.lost())
        return "lost";
    return status.draining() ? "draining" : "serving";
}

std::string listUpstreams(const proto::StatusReply &systemStatus, OutputFormat format)
{
    TextTable table({"NAME", "STATE", "POOL", "DATA_CENTRE", "REGION", "MEMORY_BYTES",
                     "CONCURRENCY", "EPOCH", "ITEMS"});
    JsonList json;
    for (const auto &status : systemStatus.upstreams()) {
        std::string items;
        for (const auto &item : status.items())
            items += (items.empty() ? "" : ",") + item.name() + ":" + item.version() +
                     (item.ready() ? "" : "(loading)");
        table.add({status.upstream(), stateOf(status), status.pool(), status.data_centre(),
                   status.region(), std::to_string(status.memory_bytes()),
                   std::to_string(status.concurrency()), std::to_string(status.epoch()), items});
        json.add(status);
    }
    return format == OutputFormat::Json ? json.text() : table.text();
}

std::string listInstances(const proto::StatusReply &systemStatus, OutputFormat format)
{
    TextTable table(
        {"ID", "ROLE", "STATE", "DATA_CENTRE", "REGION", "CONTROL", "DATA", "UPSTREAM"});
    JsonList json;
    for (const auto &entry : systemStatus.instances().instances()) {
        table.add({entry.id(), entry.role(), entry.leaving() ? "leaving" : "live",
                   entry.data_centre(), entry.region(), entry.control_address(),
                   entry.data_address(), entry.upstream()});
        json.add(entry);
    }
    return format == OutputFormat::Json ? json.text() : table.text();
}

std::string listPlacement(const proto::StatusReply &systemStatus, OutputFormat format)
{
    TextTable table({"UPSTREAM", "REGION", "VERSION", "PLANNER", "MODELS", "ADAPTERS"});
    JsonList json;
    const auto join = [](const auto &names) {
        std::string text;
        for (const auto &name : names)
            text += (text.empty() ? "" : ",") + name;
        return text;
    };
    for (const auto &placement : systemStatus.wishes()) {
        for (const auto &row : placement.upstreams())
            table.add({row.upstream(), placement.region(), std::to_string(placement.version()),
                       placement.planner(), join(row.models()), join(row.adapters())});
        json.add(placement);
    }
    return format == OutputFormat::Json ? json.text() : table.text();
}

} // namespace

Result<std::string> formatList(CtlSession &session, ListKind kind, OutputFormat format)
{
    for (const auto &list : objectLists()) {
        if (list.kind == kind)
            return listObjects(session, list, format);
    }
    const auto systemStatus = session.readStatus();
    if (!isOk(systemStatus))
        return error(systemStatus);
    if (kind == ListKind::Upstreams)
        return listUpstreams(value(systemStatus), format);
    if (kind == ListKind::Instances)
        return listInstances(value(systemStatus), format);
    return listPlacement(value(systemStatus), format);
}

} // namespace tray
