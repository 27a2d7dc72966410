// A fixture with the parts of the leader that deal with machines, connected as in LeaderParts. Requests to
// machines, other controllers and the cloud are recorded, and answered when the test calls `answer`.
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

// A request that was not sent to the key-value store and waits for its answer.
struct SentRequest {
    std::string addr;
    http::Request request;
    http::Result answer;
};

// The attempt number of tasks that the fixture adds.
inline constexpr std::uint64_t first_attempt = 5;

inline std::string addr_of(const std::string& machine_id) {
    return machine_id + ":9";
}

// Returns the status that the machine's agent sends under this leader's fencing token, without tasks.
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

// Returns the entry of a status that reports the job's first task as running.
inline nlohmann::json running_task(const std::string& job_id, std::uint64_t attempt) {
    return {{"shard", job_id + "/0"}, {"launch", attempt}, {"status", "running"}};
}

// Returns the verbs of the commands in a request to a machine, or in the answer to its heartbeat.
inline std::vector<std::string> verbs(const std::string& body) {
    std::vector<std::string> names;
    auto message = nlohmann::json::parse(body);
    for (auto& order : message["orders"]) names.push_back(order["verb"].get<std::string>());
    return names;
}

// A leadership with the parts that deal with machines.
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
    // Adds a machine that is up, has sent no status, and is not stored.
    Machine& add_machine(const std::string& id) {
        return state->cluster.add(id, addr_of(id), "g4", "a", false, Machine::Lifecycle::up, timers.now());
    }
    // Adds a machine that is stored and has sent a status under this leader's fencing token.
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
    // Adds a job with one task, which this machine's agent reports as running.
    cluster::Instance& add_running_task(const std::string& job_id, Machine& machine) {
        auto& instance = add_start(job_id, machine);
        instance.ever_reported = instance.in_last_heartbeat = true;
        instance.state = protocol::TaskState::running;
        instance.running_since = timers.now();
        instance.run.highest_token = machine.token;
        return instance;
    }
    // Adds a job with one task, which is to be started on this machine.
    cluster::Instance& add_start(const std::string& job_id, Machine& machine) {
        auto& job = add_job(job_id, 1);
        auto& instance = state->cluster.place(machine, {job_id, 0}, job.spec,
                                              protocol::AttemptNumber{first_attempt}, timers.now());
        job.active[0] = {machine.id, protocol::AttemptNumber{first_attempt}, state->zone_of(machine)};
        return instance;
    }
    // Delegates the machine to this relay until the given time, steady seconds.
    void delegate(const std::string& machine_id, const std::string& relay_label, double until) {
        delegations.table().delegate(machine_id, relay_label);
        (void)delegations.table().extend(relay_label, until);
    }

    // --- Requests ---
    // Answers the oldest request that waits. Without a response the request times out.
    void answer(std::optional<http::Response> response) {
        ASSERT_FALSE(sent.empty());
        auto oldest = std::move(sent.front());
        sent.pop_front();
        oldest.answer(std::move(response));
    }
    std::deque<SentRequest> sent;
    std::vector<protocol::Heartbeat> statuses;  // from the machines' answers to direct requests
    CommandSender::ApplyStatus apply_status = [this](const protocol::Heartbeat& status) {
        statuses.push_back(status);
    };
    std::vector<std::string> removed;  // ids of machines whose deletion the cloud has confirmed
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
