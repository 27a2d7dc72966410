// A cluster state with one machine, vm-1, whose reports the tests write.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

inline constexpr protocol::LeaderVersion version{7};
inline const protocol::TaskId task{"j-1", 0};

struct ClusterStateFixture {
    ClusterState cluster_state{version, {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"a"}}}};
    JobSpec spec = [] {
        auto j = std::make_shared<protocol::Job>();
        j->id = "j-1";
        j->request = {1, 1, 1};
        j->image = "img";
        return j;
    }();
    std::uint64_t sequence = 0;
    std::vector<protocol::TaskStatus> reported_tasks;
    std::optional<double> preemption_notice_s;
    HeartbeatOutcome apply_heartbeat(protocol::FencingToken token,
                                     HeartbeatChannel channel = HeartbeatChannel::heartbeat,
                                     std::uint64_t agent_epoch = 1) {
        protocol::Heartbeat r{"vm-1",
                              "10.1.0.1:9",
                              "g4",
                              "a",
                              false,
                              protocol::AgentEpoch{agent_epoch},
                              protocol::SequenceNumber{++sequence},
                              token,
                              preemption_notice_s,
                              reported_tasks};
        return cluster_state.apply_heartbeat(
            r, channel, 0, [this](const std::string& id) { return id == "j-1" ? spec : nullptr; });
    }
    Machine& machine() { return *cluster_state.find("vm-1"); }
    // Known to the leader from what is stored: tasks may be on it.
    void store_by_earlier_leader() {
        auto& m = cluster_state.add("vm-1", "10.1.0.1:9", "g4", "a", false, Machine::Lifecycle::up, 0);
        m.registration = Machine::Registration::stored, m.stored_by_earlier_leader = true;
    }
    protocol::FencingToken base() { return cluster_state.base_token(); }
    // As leaders before this one used; `distance` 0 is this leader's first.
    protocol::FencingToken below_base(std::uint64_t distance) {
        return protocol::FencingToken{base().value() - distance};
    }
    // A machine known and stored, with a `run` sent directly.
    std::vector<protocol::Command> place_and_send_run() {
        apply_heartbeat(base());
        machine().registration = Machine::Registration::stored;
        cluster_state.place(machine(), task, spec, protocol::AttemptNumber{5}, 0);
        return cluster_state.take_direct_commands(machine(), 0, true);
    }
    bool reply_contains(protocol::CommandKind kind) {
        for (auto& c : cluster_state.reply_commands(machine(), 0, true))
            if (c.kind == kind) return true;
        return false;
    }
};

}  // namespace coralhitch::cluster
