// Tests of HeartbeatHandler: which heartbeats are answered, and with what. Each answer renews an agent's
// lease, so a wrong one would let tasks run that must have terminated.
#include "leader/heartbeat_handler.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "leader/recovery_fixture.hpp"
#include "protocol/model.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::leader {
namespace {
using relay::HeartbeatRejection;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

const std::string relay_label = "controller-1";

config::Settings settings_without_replication() {
    auto settings = LeadingFixture::single_controller_settings();
    settings.op.replicate_starts = false;
    return settings;
}

struct Bench : RecoveryFixture {
    Bench() : RecoveryFixture(settings_without_replication()) {
        apply_status = [this](const protocol::Heartbeat& status) {
            (void)heartbeats().apply(status, cluster::HeartbeatChannel::direct_reply);
        };
        on_ready = [this] { heartbeats().handle_early_heartbeats(); };
    }
    // Returns the handler. The jobs are not loaded yet if `recover` was not called.
    HeartbeatHandler& heartbeats() {
        if (!recovery) start_recovery();
        if (!handler)
            handler.emplace(*context, rejections,
                            HeartbeatHandler::Parts{delegations, failure_detector, supervisor, machine_store,
                                                    instances, commands, start_replication, *recovery},
                            HeartbeatHandler::Hooks{[this] { ++plans; }, [this] { ++job_stores; }});
        return *handler;
    }
    // Returns the answer to a heartbeat that the agent sends to this controller.
    http::Response answer_to(const nlohmann::json& status) {
        http::Response response{0, ""};
        heartbeats().handle(
            {status.dump(), [&](http::Response given) { response = std::move(given); }, timers.now()});
        EXPECT_NE(response.status, 0) << "not answered";
        return response;
    }
    // Returns a relay's message that forwards this heartbeat.
    protocol::RelayRequest relayed(const nlohmann::json& status) {
        protocol::RelayRequest message;
        message.label = relay_label;
        message.incarnation = protocol::Incarnation{1};
        message.leader_version = authority->fencing_token();
        message.sequence_number = ++relay_messages;
        message.heartbeats = {status.dump()};
        return message;
    }
    // Returns the answer to a relay's message.
    protocol::RelayResponse answer_to(const protocol::RelayRequest& message) {
        http::Response response;
        heartbeats().handle_relayed(message, [&](http::Response given) { response = std::move(given); });
        auto relay_answer = protocol::unpack_peer<protocol::RelayResponse>(response.body);
        EXPECT_TRUE(relay_answer);
        return relay_answer.value_or(protocol::RelayResponse{});
    }
    std::uint64_t rejected(HeartbeatRejection reason) const { return rejections.count(reason); }

    int job_stores = 0;
    std::uint64_t relay_messages = 0;
    relay::HeartbeatRejections rejections{timers, 60};
    StartReplication start_replication{
        *context, network, kv, [](const std::string&) -> const protocol::PeerPing* { return nullptr; },
        [this] { commands.flush_all(); }};
    MachineSupervisor supervisor{
        *context,
        metrics,
        types,
        {failure_detector, reconciliation, delegations, instances, commands, deletion},
        {[](const std::map<std::string, double>&) { return std::nullopt; }, [] { return false; }, [] {}}};
    std::optional<HeartbeatHandler> handler;
};

// A leader that has loaded the jobs, with one machine that has reconciled.
struct LoadedBench : Bench {
    LoadedBench() {
        recover();
        wait(1);
    }
    cluster::Machine& machine = add_reconciled_machine("vm-1");
};

TEST(HeartbeatHandler, RenewsTheLeaseOfAMachineThatSendsAHeartbeat) {
    LoadedBench bench;
    auto response = bench.answer_to(status_of(bench.machine, 2));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(nlohmann::json::parse(response.body)["helm"], bench.machine.token.value());
    EXPECT_DOUBLE_EQ(bench.machine.lease_renewed_at, bench.timers.now());
}

TEST(HeartbeatHandler, AnswersEarlyHeartbeatsOnceTheJobsAreLoaded) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    int status = 0;
    bench.heartbeats().handle({status_of(machine, 2).dump(),
                               [&](const http::Response& response) { status = response.status; },
                               bench.timers.now()});
    EXPECT_EQ(status, 0);
    bench.wait(1);
    EXPECT_EQ(status, 200);
}

TEST(HeartbeatHandler, RenewsLeasesAfterLosingItsAuthorityOnlyUntilTheDeadline) {
    LoadedBench bench;
    bench.lose_authority();
    EXPECT_EQ(bench.answer_to(status_of(bench.machine, 2)).status, 200);
    bench.timers.run_until(bench.authority->lease_renewal_deadline() + 0.01);
    double renewed_at = bench.machine.lease_renewed_at;
    EXPECT_EQ(bench.answer_to(status_of(bench.machine, 3)).status, 503);
    EXPECT_EQ(bench.rejected(HeartbeatRejection::renewal_deadline_passed), 1u);
    EXPECT_DOUBLE_EQ(bench.machine.lease_renewed_at, renewed_at);
}

TEST(HeartbeatHandler, AnswersNoHeartbeatAfterTheLeadershipsEnd) {
    LoadedBench bench;
    double renewed_at = bench.machine.lease_renewed_at;
    bench.authority->end();
    EXPECT_EQ(bench.answer_to(status_of(bench.machine, 2)).status, 503);
    EXPECT_EQ(bench.rejected(HeartbeatRejection::lease_lost), 1u);
    EXPECT_DOUBLE_EQ(bench.machine.lease_renewed_at, renewed_at);
}

TEST(HeartbeatHandler, SendsNoStartWithoutAuthority) {
    for (bool has_authority : {true, false}) {
        LoadedBench bench;
        auto& instance = bench.add_start("j-1", bench.machine);
        instance.run.highest_token = bench.machine.token;  // a direct `run` was sent and may not have arrived
        if (!has_authority) bench.lose_authority();
        auto response = bench.answer_to(status_of(bench.machine, 2));
        ASSERT_EQ(response.status, 200);
        EXPECT_THAT(verbs(response.body), SizeIs(has_authority ? 1 : 0));
    }
}

TEST(HeartbeatHandler, StepsDownWhenAnAgentShowsTheTokenOfALaterLeader) {
    LoadedBench bench;
    auto status = status_of(bench.machine, 2);
    status["helm"] = bench.authority->fencing_token().next().value() << cluster::ClusterState::token_bits;
    EXPECT_EQ(bench.answer_to(status).status, 503);
    bench.wait(0);
    EXPECT_FALSE(bench.leads());
}

TEST(HeartbeatHandler, RejectsADeletedMachine) {
    LoadedBench bench;
    auto status = status_of(bench.machine, 2);
    (void)bench.state->cluster.remove_deleted("vm-1");
    EXPECT_EQ(bench.answer_to(status).status, 503);
    EXPECT_EQ(bench.rejected(HeartbeatRejection::outdated), 1u);
}

TEST(HeartbeatHandler, RenewsNoLeaseForACopyOfTheLastHeartbeat) {
    LoadedBench bench;
    auto status = status_of(bench.machine, 2);
    ASSERT_EQ(bench.answer_to(status).status, 200);
    double renewed_at = bench.machine.lease_renewed_at;
    bench.wait(2);
    EXPECT_EQ(bench.answer_to(status).status, 200) << "the agent may still wait for the answer";
    EXPECT_DOUBLE_EQ(bench.machine.lease_renewed_at, renewed_at);
}

TEST(HeartbeatHandler, RejectsAMachineThatMayRunACancelledTaskWithoutHavingReceivedAStop) {
    LoadedBench bench;
    auto& instance = bench.add_start("j-1", bench.machine);
    instance.run.highest_token = bench.machine.token;
    auto unaware = status_of(bench.machine, 2);  // shows the fencing token of that `run`
    double deadline = bench.timers.now() + 1;
    bench.state->cluster.cancel(bench.machine, {"j-1", 0}, deadline);
    EXPECT_EQ(bench.answer_to(unaware).status, 200);
    bench.timers.run_until(deadline + 0.01);
    unaware["tally"] = 3;
    EXPECT_EQ(bench.answer_to(unaware).status, 503);
    EXPECT_EQ(bench.rejected(HeartbeatRejection::cancellation_unsent), 1u);
    unaware["tally"] = 4;
    unaware["helm"] =
        bench.machine.token.value();  // the token of the stop, under which the `run` is rejected
    EXPECT_EQ(bench.answer_to(unaware).status, 200);
}

TEST(HeartbeatHandler, StopsATaskOfAJobThatHasEnded) {
    LoadedBench bench;
    auto status = status_of(bench.machine, 2);
    status["shards"] = {running_task("j-over", 3)};
    auto response = bench.answer_to(status);
    ASSERT_EQ(response.status, 200);
    EXPECT_THAT(verbs(response.body), ElementsAre("kill"));
}

TEST(HeartbeatHandler, StopsTheOrphanedAttemptOfATaskThatRunsElsewhere) {
    LoadedBench bench;
    bench.add_running_task("j-1", bench.add_reconciled_machine("vm-2"));
    auto status = status_of(bench.machine, 2);
    status["shards"] = {running_task("j-1", first_attempt - 1)};
    auto response = bench.answer_to(status);
    ASSERT_EQ(response.status, 200);
    EXPECT_THAT(verbs(response.body), ElementsAre("kill"));
    auto order = nlohmann::json::parse(response.body)["orders"][0];
    EXPECT_EQ(order["launch"], first_attempt - 1);
    EXPECT_EQ(bench.state->jobs.find("j-1")->active.at(0).machine, "vm-2");
}

TEST(HeartbeatHandler, RepeatsItsAnswerWhileNothingIsPending) {
    LoadedBench bench;
    auto first = bench.answer_to(status_of(bench.machine, 2));
    bench.wait(2);
    auto second = bench.answer_to(status_of(bench.machine, 3));
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_DOUBLE_EQ(bench.machine.lease_renewed_at, bench.timers.now());
    auto& instance = bench.add_running_task("j-1", bench.machine);
    instance.stop_requested = true;
    auto with_stop = status_of(bench.machine, 4);
    EXPECT_NE(bench.answer_to(with_stop).body, first.body) << "the stop must be sent";
}

// If answers do not reach a machine, each would still postpone the time at which its lease counts as expired,
// and the machine would never reconcile.
TEST(HeartbeatHandler, RejectsAnOutboundUnreachableMachineUntilItHasReconciled) {
    Bench bench;
    bench.store_machine("vm-1");
    bench.recover();
    auto& machine = *bench.state->cluster.find("vm-1");
    bench.timers.run_until(machine.lease_renewed_at + 1);
    for (int change = 0; change < 2; ++change)
        machine.reachability.record_heartbeat(false, bench.timers.now());
    auto status = status_of(machine, 2);
    status["helm"] = 0;
    double renewed_at = machine.lease_renewed_at;
    EXPECT_EQ(bench.answer_to(status).status, 503);
    EXPECT_EQ(bench.rejected(HeartbeatRejection::outbound_unreachable), 1u);
    EXPECT_DOUBLE_EQ(machine.lease_renewed_at, renewed_at) << "otherwise its lease would never expire";
}

TEST(HeartbeatHandler, DelegatesAQuietMachineToItsRelayNoLongerThanLeasesMayBeRenewed) {
    LoadedBench bench;
    bench.lose_authority();
    bench.timers.run_until(bench.authority->lease_renewal_deadline() - 1);
    auto relay_answer = bench.answer_to(bench.relayed(status_of(bench.machine, 2)));
    ASSERT_THAT(relay_answer.replies, SizeIs(1));
    EXPECT_EQ(relay_answer.replies[0].status, 200);
    EXPECT_EQ(bench.delegations.count(), 1u);
    EXPECT_LE(relay_answer.delegation_ms, 1000u);
    double granted_until = bench.timers.now() + static_cast<double>(relay_answer.delegation_ms) / 1000;
    EXPECT_GE(bench.delegations.last_possible_renewal(bench.machine), granted_until);
}

TEST(HeartbeatHandler, DelegatesNoMachineForWhichACommandIsDue) {
    LoadedBench bench;
    bench.add_running_task("j-1", bench.machine).stop_requested = true;
    bench.commands.flush_all();  // the direct stop may not have arrived
    auto status = status_of(bench.machine, 2);
    status["shards"] = {running_task("j-1", first_attempt)};
    auto relay_answer = bench.answer_to(bench.relayed(status));
    ASSERT_THAT(relay_answer.replies, SizeIs(1));
    EXPECT_THAT(verbs(relay_answer.replies[0].body), ElementsAre("kill"));
    EXPECT_EQ(bench.delegations.count(), 0u);
}

TEST(HeartbeatHandler, IgnoresARelaysMessageForAnotherLeadership) {
    LoadedBench bench;
    auto message = bench.relayed(status_of(bench.machine, 2));
    message.leader_version = message.leader_version.next();
    auto relay_answer = bench.answer_to(message);
    EXPECT_FALSE(relay_answer.is_leader);
    EXPECT_THAT(relay_answer.replies, IsEmpty());
    EXPECT_EQ(bench.machine.sequence, protocol::SequenceNumber{1});
}

}  // namespace
}  // namespace coralhitch::leader
