// The leader's parts that deal with machines, wired to each other as Leader does it, among machines, other
// controllers and a cloud that answer when the test says so.
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "leader/command_sender.hpp"
#include "leader/leading_fixture.hpp"
#include "leader/machine_deletion.hpp"
#include "leader/machine_store.hpp"
#include "membership/failure_detector.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// A request to anybody but the key-value store, which waits for its answer.
struct SentRequest {
    std::string addr;
    http::Request request;
    http::Result answer;
};

// The number of the attempt that a test starts or shows.
inline constexpr std::uint64_t first_attempt = 5;

inline std::string addr_of(const std::string& machine_id) {
    return machine_id + ":9";
}

// What the machine's agent reports under this leader's token, without tasks.
inline nlohmann::json status_of(const cluster::Machine& machine, std::uint64_t sequence) {
    nlohmann::json status;
    status["berth"] = machine.id;
    status["addr"] = machine.addr;
    status["hull"] = machine.type;
    status["reef"] = machine.zone;
    status["driftwood"] = machine.spot;
    status["watch"] = 1;
    status["tally"] = sequence;
    status["helm"] = machine.token.value();
    status["shards"] = nlohmann::json::array();
    return status;
}

inline nlohmann::json running_task(const std::string& job_id, std::uint64_t attempt) {
    return {{"shard", job_id + "/0"}, {"launch", attempt}, {"status", "running"}};
}

// The verbs of the commands in a request to a machine, or in the answer to its heartbeat.
inline std::vector<std::string> verbs(const std::string& body) {
    std::vector<std::string> names;
    auto message = nlohmann::json::parse(body);
    for (auto& order : message["orders"]) names.push_back(order["verb"].get<std::string>());
    return names;
}

struct PartsFixture : LeadingFixture {
    using Machine = cluster::Machine;
    explicit PartsFixture(config::Settings given = single_controller_settings())
        : LeadingFixture(std::move(given)) {
        service.others = [this](const std::string& addr, const http::Request& request, double,
                                http::Result result) {
            sent.push_back({addr, request, std::move(result)});
        };
    }

    // --- Machines ---
    // One that is up; nothing has come from it and it is not stored.
    Machine& add_machine(const std::string& id) {
        return state->cluster.add(id, addr_of(id), "g4", "a", false, Machine::Life::up, timers.now());
    }
    // One that is stored and has reported under this leader's token.
    Machine& add_reconciled_machine(const std::string& id) {
        auto& machine = add_machine(id);
        machine.registration = Machine::Registration::stored;
        machine.agent_epoch = protocol::AgentEpoch{1};
        machine.sequence = protocol::SequenceNumber{1};
        machine.heartbeat_sequence = protocol::SequenceNumber{1};
        machine.token_seen = machine.token;
        machine.reported_to_this_leader = machine.reconciled = true;
        return machine;
    }
    // A task of a job of one task on this machine, whose agent reports it as running.
    cluster::Instance& add_running_task(const std::string& job_id, Machine& machine) {
        auto& instance = add_start(job_id, machine);
        instance.ever_reported = instance.in_last_heartbeat = true;
        instance.state = protocol::TaskState::running;
        instance.running_since = timers.now();
        instance.run.highest_token = machine.token;
        return instance;
    }
    // A task of a job of one task, to be started on this machine.
    cluster::Instance& add_start(const std::string& job_id, Machine& machine) {
        auto& job = add_job(job_id, 1);
        auto& instance = state->cluster.place(machine, {job_id, 0}, job.spec,
                                              protocol::AttemptNumber{first_attempt}, timers.now());
        job.active[0] = {machine.id, protocol::AttemptNumber{first_attempt}, state->zone_of(machine)};
        return instance;
    }
    // The machine's heartbeats are answered by this relay until then.
    void delegate(const std::string& machine_id, const std::string& relay_label, double until) {
        delegations.table().delegate(machine_id, relay_label);
        (void)delegations.table().extend(relay_label, until);
    }

    // --- Requests ---
    // Answers the oldest request that waits, or lets it time out.
    void answer(std::optional<http::Response> response) {
        ASSERT_FALSE(sent.empty());
        auto oldest = std::move(sent.front());
        sent.pop_front();
        oldest.answer(std::move(response));
    }
    std::deque<SentRequest> sent;
    std::vector<protocol::Heartbeat> statuses;  // that machines answered to direct requests
    CommandSender::ApplyStatus apply_status = [this](const protocol::Heartbeat& status) {
        statuses.push_back(status);
    };
    std::vector<std::string> removed;  // machines whose deletion the cloud has answered
    int deletions_answered = 0, plans = 0;

    metrics::Metrics metrics;
    membership::FailureDetector failure_detector{{settings.heartbeat_interval_s, settings.lease_s,
                                                  settings.op.suspicion_timeout_periods,
                                                  settings.peers.size()}};
    failover::Reconciliation reconciliation{state->cluster, settings.heartbeat_interval_s};
    Delegations delegations{state->cluster};
    cluster::TeamActivity team_activity;
    InstanceTracker instances{*context, metrics, team_activity, [this](Machine& machine, const char* reason) {
                                  deletion.mark(machine, reason);
                              }};
    CommandSender commands{*context, network, delegations, reconciliation,
                           [this](const protocol::Heartbeat& status) { apply_status(status); }};
    MachineStore machine_store{*context, kv, [this] {
                                   commands.flush_all();
                                   deletion.delete_marked();
                               }};
    cloud::CloudClient cloud{timers, network, settings};
    MachineDeletion deletion{*context,
                             cloud,
                             metrics,
                             delegations,
                             machine_store,
                             instances,
                             {[this](const std::string& machine_id) { removed.push_back(machine_id); },
                              [this] { ++deletions_answered; }}};
};

}  // namespace coralhitch::leader
