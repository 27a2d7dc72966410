// Test fixture with a leadership whose Recovery loads the records that a test has stored.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "leader/parts_fixture.hpp"
#include "leader/recovery.hpp"
#include "protocol/agent_api.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/records.hpp"

namespace coralhitch::leader {

// PartsFixture with a Recovery object that is created by `recover` or `start_recovery`.
struct RecoveryFixture : PartsFixture {
    static constexpr std::uint64_t own_incarnation = 77;

    explicit RecoveryFixture(config::Settings given = single_controller_settings())
        : PartsFixture(std::move(given)) {}

    // Stores the machine record as a previous leader would have.
    void store_machine(const std::string& id, bool marked_for_deletion = false) {
        page.emplace_back(id, protocol::MachineRecord{addr_of(id), "g4", "a", false, marked_for_deletion});
        service.kv[kv::keys::machine_page(0)] = {nlohmann::json::parse(protocol::stored(page)),
                                                 ++service.revision};
    }
    // Starts the recovery and waits until the stored state is loaded. Must be called once.
    void recover() {
        start_recovery();
        wait(1);
        ASSERT_TRUE(recovery->loaded());
    }
    // Starts the recovery without waiting. Must be called once.
    void start_recovery() {
        replication::ReplicaEvidence evidence;
        evidence.label = settings.label;
        evidence.incarnation = protocol::Incarnation{own_incarnation};
        evidence.leader_version = authority->fencing_token();
        evidence.history_before_claim = history;
        evidence.replica = &replica;
        recovery.emplace(
            *context, kv, evidence,
            Recovery::Parts{failure_detector, reconciliation, instances, commands, machine_store, stale_keys},
            Recovery::PredecessorState{images, replica, silent_machine_s}, hooks());
        recovery->start();
    }
    Recovery::Hooks hooks() {
        return {
            [this](const std::string& job_id, std::uint64_t version, const std::string& record) {
                state->jobs.put(job_id, version, protocol::parse_job_record(record));
            },
            [this](const failover::RecoveredState& stored) { replica_eligible = stored.replica_eligible; },
            [this] { jobs_loaded = true; },
            [this] {
                if (on_ready) on_ready();
            },
            [this] { ++plans; }};
    }
    // Applies a heartbeat from the machine with its current fencing token, which reconciles it.
    void reconcile(const std::string& machine_id) {
        auto& machine = *state->cluster.find(machine_id);
        auto status =
            protocol::HeartbeatReader().read(status_of(machine, machine.sequence.next().value()).dump());
        (void)state->cluster.apply_heartbeat(status, cluster::HeartbeatChannel::heartbeat, timers.now(),
                                             [](const std::string&) { return nullptr; });
    }

    protocol::MachinePage page;
    protocol::PeerImages images;
    replication::ReplicaState replica;
    election::LeadershipHistory history;  // known before the election
    std::map<std::string, double> silent_machine_s;
    std::optional<bool> replica_eligible;  // set when the stored state has been applied
    bool jobs_loaded = false;
    std::function<void()> on_ready;
    StaleKeyRemover stale_keys{*context, kv};
    std::optional<Recovery> recovery;
};

}  // namespace coralhitch::leader
