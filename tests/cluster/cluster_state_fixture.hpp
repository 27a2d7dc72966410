// A cluster state with one machine, vm-1, whose heartbeats the tests compose.
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

// Leader version 7, machine type g4 with 4 GPUs and an image cache of 100 GB, and the job j-1.
struct ClusterStateFixture {
    ClusterState cluster_state{version, {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"a"}}}};
    JobSpec spec = [] {
        auto job = std::make_shared<protocol::Job>();
        job->id = "j-1";
        job->request = {1, 1, 1};
        job->image = "img";
        return job;
    }();
    std::uint64_t sequence = 0;
    std::vector<protocol::TaskStatus> reported_tasks;
    std::optional<double> preemption_notice_s;
    // Applies a heartbeat of vm-1 with `reported_tasks`, `preemption_notice_s` and the next sequence number.
    HeartbeatOutcome apply_heartbeat(protocol::FencingToken token,
                                     HeartbeatChannel channel = HeartbeatChannel::heartbeat,
                                     std::uint64_t agent_epoch = 1) {
        protocol::Heartbeat heartbeat{"vm-1",
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
            heartbeat, channel, 0, [this](const std::string& id) { return id == "j-1" ? spec : nullptr; });
    }
    Machine& machine() { return *cluster_state.find("vm-1"); }
    // Adds the machine as an earlier leader stored it, so tasks of that leader may be on it.
    void store_by_earlier_leader() {
        auto& machine = cluster_state.add("vm-1", "10.1.0.1:9", "g4", "a", false, Machine::Lifecycle::up, 0);
        machine.registration = Machine::Registration::stored, machine.stored_by_earlier_leader = true;
    }
    protocol::FencingToken base() { return cluster_state.base_token(); }
    // Returns the token `distance` below the first one of this leader: a token of an earlier leader, or for 0
    // this leader's first.
    protocol::FencingToken below_base(std::uint64_t distance) {
        return protocol::FencingToken{base().value() - distance};
    }
    // Adds the machine, marks it as stored, places attempt 5 of the task there, and returns the direct `run`.
    std::vector<protocol::Command> place_and_send_run() {
        apply_heartbeat(base());
        machine().registration = Machine::Registration::stored;
        cluster_state.place(machine(), task, spec, protocol::AttemptNumber{5}, 0);
        return cluster_state.take_direct_commands(machine(), 0, true);
    }
    bool reply_contains(protocol::CommandKind kind) {
        for (auto& command : cluster_state.reply_commands(machine(), 0, true))
            if (command.kind == kind) return true;
        return false;
    }
};

}  // namespace coralhitch::cluster
