#include "leader/host_lister.hpp"

namespace coralhitch::leader {
using cluster::Machine;

HostLister::HostLister(const PartContext& context, cloud::CloudClient& cloud, CommandSender& commands,
                       MachineDeletion& deletion)
    : LeaderPart(context), cloud_(cloud), commands_(commands), deletion_(deletion) {}

void HostLister::list_if_due() {
    if (last_list_at_ && timers_.now() - *last_list_at_ <= settings_.list_lag_s) return;
    if (in_flight_ || !authority_.holds()) return;
    in_flight_ = true;
    last_list_at_ = timers_.now();
    cloud_.list_machines(guarded_([this](std::optional<std::vector<protocol::Host>> hosts) {
        in_flight_ = false;
        if (!hosts) return;
        has_listed_ = true;
        apply_list(*hosts);
    }));
}

void HostLister::apply_list(const std::vector<protocol::Host>& hosts) {
    std::vector<std::string> running;
    {
        std::lock_guard lock(state_.mutex);
        for (auto& host : hosts) apply_host(host, running);
    }
    for (auto& id : running)
        if (auto* machine = state_.cluster.find(id)) commands_.probe(*machine);
}

// Applies one row of the list. Appends the machine's id to `running` if the cloud says that it is running but
// it is still booting here, that is, no heartbeat has come from it.
void HostLister::apply_host(const protocol::Host& host, std::vector<std::string>& running) {
    if (state_.cluster.is_deleted(host.id)) return;
    auto* known = state_.cluster.find(host.id);
    auto& machine = known ? *known
                          : state_.cluster.add(host.id, host.addr, host.type, host.zone, host.spot,
                                               Machine::Lifecycle::booting, timers_.now());
    if (!known) machine.created_at = timers_.now() - host.age_s;
    if (host.state == protocol::HostState::failed &&
        machine.lifecycle != Machine::Lifecycle::marked_for_deletion) {
        deletion_.mark(machine, "has failed according to the cloud");
    } else if (host.state == protocol::HostState::running &&
               machine.lifecycle == Machine::Lifecycle::booting) {
        if (machine.addr.empty()) machine.addr = host.addr;
        running.push_back(host.id);
    }
}

}  // namespace coralhitch::leader
