// Suspects are passed on at once along the edges of the relay tree: a caller repeats a request that
// crashed an engine within milliseconds, and often through another entry instance.
#include "node/ControlNodeImpl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tray {

namespace asio = boost::asio;

std::vector<std::string> NodeState::neighbours(const std::string &without, Instant now) const
{
    // Four polls: a child that was silent for longer has most likely another parent.
    constexpr auto ChildMemory = std::chrono::seconds(2);
    std::vector<std::string> addresses;
    for (const auto &instance : this->instanceList->instances()) {
        const auto &id = instance.id();
        const auto child = this->children.find(id);
        const bool isChild =
            child != this->children.end() && now - child->second.heardAt < ChildMemory;
        if (id != without && id != this->identity.instance && (isChild || id == this->parent.id))
            addresses.push_back(instance.control_address());
    }
    return addresses;
}

void ControlNode::Impl::spreadSuspects(const std::vector<proto::Suspect> &suspects,
                                       const std::string &sender)
{
    // Only news is passed on, so the flood ends once every process knows.
    if (suspects.empty() || this->stopping)
        return;
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(this->mutex);
        addresses = this->state.neighbours(sender, this->now());
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
        // A lost report is made good by the next polls, which carry recent suspects too.
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
