#include "agent/EpochKeeper.h"

#include "base/Hash.h"
#include "edge/ObjectApi.h"

#include <boost/json.hpp>

namespace tray {

namespace asio = boost::asio;
namespace json = boost::json;

EpochKeeper::EpochKeeper(ObjectApi &objects, std::string upstream, std::string instance)
    : objects(objects), key("agents/" + std::move(upstream)), instance(std::move(instance))
{}

asio::awaitable<Result<EpochKeeper::Stored>> EpochKeeper::read()
{
    auto found = co_await this->objects.read(this->key);
    Stored stored;
    if (!isOk(found)) {
        if (error(found).kind == ErrorKind::NotFound)
            co_return stored;
        co_return error(found);
    }
    json::error_code code;
    const auto parsed = json::parse(value(found).value, code);
    if (code || !parsed.is_object())
        co_return Error{ErrorKind::Internal, "the object " + this->key + " cannot be read"};
    const auto &fields = parsed.as_object();
    if (const auto *epoch = fields.if_contains("epoch"); epoch != nullptr && epoch->is_number())
        stored.epoch = epoch->to_number<uint64_t>();
    if (const auto *nonce = fields.if_contains("nonce"); nonce != nullptr && nonce->is_string())
        stored.nonce = std::string(nonce->as_string());
    stored.version = value(found).version;
    co_return stored;
}

asio::awaitable<Result<uint64_t>> EpochKeeper::raise()
{
    const auto found = co_await this->read();
    if (!isOk(found))
        co_return error(found);
    const uint64_t next = value(found).epoch + 1;
    const std::string nonce = toHex(newNonce());
    json::object fields;
    fields["epoch"] = next;
    fields["instance"] = this->instance;
    fields["nonce"] = nonce;
    const auto written =
        co_await this->objects.write(this->key, json::serialize(fields), value(found).version);
    if (!isOk(written)) {
        if (error(written).kind != ErrorKind::OutcomeUnknown)
            co_return error(written);
        // The answer was lost; the stored nonce shows whether this write took effect.
        const auto again = co_await this->read();
        if (!isOk(again))
            co_return error(again);
        if (value(again).nonce != nonce)
            co_return Error{ErrorKind::VersionConflict, "another agent has raised the epoch"};
    }
    this->current = next;
    co_return next;
}

asio::awaitable<Result<Unit>> EpochKeeper::check()
{
    const auto found = co_await this->read();
    if (!isOk(found))
        co_return error(found);
    if (value(found).epoch > this->current)
        co_return Error{ErrorKind::Stale, "a newer agent has taken over"};
    co_return Unit{};
}

} // namespace tray
