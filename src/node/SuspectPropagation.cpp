// Sends new suspects immediately along the edges of the relay tree: a caller repeats a request that
// crashed an engine within milliseconds, and often through another entry instance.
#include "node/ControlNodeImpl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tray {

namespace asio = boost::asio;

std::vector<std::string> NodeState::neighbourAddresses(const std::string &exceptInstance,
                                                       Instant now) const
{
    // Four poll intervals: a child that has not polled for longer most likely has another parent.
    constexpr auto ChildPollTimeout = std::chrono::seconds(2);
    std::vector<std::string> addresses;
    for (const auto &instance : this->instanceList->instances()) {
        const auto &id = instance.id();
        const auto child = this->children.find(id);
        const bool isChild =
            child != this->children.end() && now - child->second.lastContactAt < ChildPollTimeout;
        if (id != exceptInstance && id != this->identity.instance &&
            (isChild || id == this->parent.id))
            addresses.push_back(instance.control_address());
    }
    return addresses;
}

void ControlNode::Impl::propagateSuspects(const std::vector<proto::Suspect> &suspects,
                                          const std::string &sender)
{
    // Only suspects that are new here are forwarded, so the flood ends once every process has them.
    if (suspects.empty() || this->stopping)
        return;
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(this->mutex);
        addresses = this->state.neighbourAddresses(sender, this->now());
    }
    proto::ControlRequest request;
    auto &report = *request.mutable_suspects();
    report.set_sender(this->identity.instance);
    for (const auto &suspect : suspects)
        *report.add_suspects() = suspect;
    for (const auto &text : addresses) {
        const auto address = parseAddress(text);
        if (!isOk(address))
            continue;
        // A lost report is compensated by the next polls, which carry recent suspects too.
        asio::co_spawn(
            this->strand,
            [self = this->shared_from_this(), peer = value(address), request]() -> Task {
                co_await self->call(peer, request,
                                    milliseconds(self->settings.request_timeout_ms()));
            },
            asio::detached);
    }
}

} // namespace tray
