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

struct HeartbeatHandlerFixture : RecoveryFixture {
    HeartbeatHandlerFixture() : RecoveryFixture(settings_without_replication()) {
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
struct LoadedHeartbeatHandlerFixture : HeartbeatHandlerFixture {
    LoadedHeartbeatHandlerFixture() {
        recover();
        wait(1);
    }
    cluster::Machine& machine = add_reconciled_machine("vm-1");
};

TEST(HeartbeatHandler, RenewsTheLeaseOfAMachineThatSendsAHeartbeat) {
    LoadedHeartbeatHandlerFixture fixture;
    auto response = fixture.answer_to(status_of(fixture.machine, 2));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(nlohmann::json::parse(response.body)["helm"], fixture.machine.token.value());
    EXPECT_DOUBLE_EQ(fixture.machine.lease_renewed_at, fixture.timers.now());
}

TEST(HeartbeatHandler, AnswersEarlyHeartbeatsOnceTheJobsAreLoaded) {
    HeartbeatHandlerFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    int status = 0;
    fixture.heartbeats().handle({status_of(machine, 2).dump(),
                                 [&](const http::Response& response) { status = response.status; },
                                 fixture.timers.now()});
    EXPECT_EQ(status, 0);
    fixture.wait(1);
    EXPECT_EQ(status, 200);
}

TEST(HeartbeatHandler, RenewsLeasesAfterLosingItsAuthorityOnlyUntilTheDeadline) {
    LoadedHeartbeatHandlerFixture fixture;
    fixture.lose_authority();
    EXPECT_EQ(fixture.answer_to(status_of(fixture.machine, 2)).status, 200);
    fixture.timers.run_until(fixture.authority->lease_renewal_deadline() + 0.01);
    double renewed_at = fixture.machine.lease_renewed_at;
    EXPECT_EQ(fixture.answer_to(status_of(fixture.machine, 3)).status, 503);
    EXPECT_EQ(fixture.rejected(HeartbeatRejection::renewal_deadline_passed), 1u);
    EXPECT_DOUBLE_EQ(fixture.machine.lease_renewed_at, renewed_at);
}

TEST(HeartbeatHandler, AnswersNoHeartbeatAfterTheLeadershipsEnd) {
    LoadedHeartbeatHandlerFixture fixture;
    double renewed_at = fixture.machine.lease_renewed_at;
    fixture.authority->end();
    EXPECT_EQ(fixture.answer_to(status_of(fixture.machine, 2)).status, 503);
    EXPECT_EQ(fixture.rejected(HeartbeatRejection::lease_lost), 1u);
    EXPECT_DOUBLE_EQ(fixture.machine.lease_renewed_at, renewed_at);
}

TEST(HeartbeatHandler, SendsNoStartWithoutAuthority) {
    for (bool has_authority : {true, false}) {
        LoadedHeartbeatHandlerFixture fixture;
        auto& instance = fixture.add_start("j-1", fixture.machine);
        instance.run.highest_token =
            fixture.machine.token;  // a direct `run` was sent and may not have arrived
        if (!has_authority) fixture.lose_authority();
        auto response = fixture.answer_to(status_of(fixture.machine, 2));
        ASSERT_EQ(response.status, 200);
        EXPECT_THAT(verbs(response.body), SizeIs(has_authority ? 1 : 0));
    }
}

TEST(HeartbeatHandler, StepsDownWhenAnAgentShowsTheTokenOfALaterLeader) {
    LoadedHeartbeatHandlerFixture fixture;
    auto status = status_of(fixture.machine, 2);
    status["helm"] = fixture.authority->fencing_token().next().value() << cluster::ClusterState::token_bits;
    EXPECT_EQ(fixture.answer_to(status).status, 503);
    fixture.wait(0);
    EXPECT_FALSE(fixture.leads());
}

TEST(HeartbeatHandler, RejectsADeletedMachine) {
    LoadedHeartbeatHandlerFixture fixture;
    auto status = status_of(fixture.machine, 2);
    (void)fixture.state->cluster.remove_deleted("vm-1");
    EXPECT_EQ(fixture.answer_to(status).status, 503);
    EXPECT_EQ(fixture.rejected(HeartbeatRejection::outdated), 1u);
}

TEST(HeartbeatHandler, RenewsNoLeaseForACopyOfTheLastHeartbeat) {
    LoadedHeartbeatHandlerFixture fixture;
    auto status = status_of(fixture.machine, 2);
    ASSERT_EQ(fixture.answer_to(status).status, 200);
    double renewed_at = fixture.machine.lease_renewed_at;
    fixture.wait(2);
    EXPECT_EQ(fixture.answer_to(status).status, 200) << "the agent may still wait for the answer";
    EXPECT_DOUBLE_EQ(fixture.machine.lease_renewed_at, renewed_at);
}

TEST(HeartbeatHandler, RejectsAMachineThatMayRunACancelledTaskWithoutHavingReceivedAStop) {
    LoadedHeartbeatHandlerFixture fixture;
    auto& instance = fixture.add_start("j-1", fixture.machine);
    instance.run.highest_token = fixture.machine.token;
    auto unaware = status_of(fixture.machine, 2);  // shows the fencing token of that `run`
    double deadline = fixture.timers.now() + 1;
    fixture.state->cluster.cancel(fixture.machine, {"j-1", 0}, deadline);
    EXPECT_EQ(fixture.answer_to(unaware).status, 200);
    fixture.timers.run_until(deadline + 0.01);
    unaware["tally"] = 3;
    EXPECT_EQ(fixture.answer_to(unaware).status, 503);
    EXPECT_EQ(fixture.rejected(HeartbeatRejection::cancellation_unsent), 1u);
    unaware["tally"] = 4;
    unaware["helm"] =
        fixture.machine.token.value();  // the token of the stop, under which the `run` is rejected
    EXPECT_EQ(fixture.answer_to(unaware).status, 200);
}

TEST(HeartbeatHandler, StopsATaskOfAJobThatHasEnded) {
    LoadedHeartbeatHandlerFixture fixture;
    auto status = status_of(fixture.machine, 2);
    status["shards"] = {running_task("j-over", 3)};
    auto response = fixture.answer_to(status);
    ASSERT_EQ(response.status, 200);
    EXPECT_THAT(verbs(response.body), ElementsAre("kill"));
}

TEST(HeartbeatHandler, StopsTheOrphanedAttemptOfATaskThatRunsElsewhere) {
    LoadedHeartbeatHandlerFixture fixture;
    fixture.add_running_task("j-1", fixture.add_reconciled_machine("vm-2"));
    auto status = status_of(fixture.machine, 2);
    status["shards"] = {running_task("j-1", first_attempt - 1)};
    auto response = fixture.answer_to(status);
    ASSERT_EQ(response.status, 200);
    EXPECT_THAT(verbs(response.body), ElementsAre("kill"));
    auto order = nlohmann::json::parse(response.body)["orders"][0];
    EXPECT_EQ(order["launch"], first_attempt - 1);
    EXPECT_EQ(fixture.state->jobs.find("j-1")->active.at(0).machine, "vm-2");
}

TEST(HeartbeatHandler, RepeatsItsAnswerWhileNothingIsPending) {
    LoadedHeartbeatHandlerFixture fixture;
    auto first = fixture.answer_to(status_of(fixture.machine, 2));
    fixture.wait(2);
    auto second = fixture.answer_to(status_of(fixture.machine, 3));
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_DOUBLE_EQ(fixture.machine.lease_renewed_at, fixture.timers.now());
    auto& instance = fixture.add_running_task("j-1", fixture.machine);
    instance.stop_requested = true;
    auto with_stop = status_of(fixture.machine, 4);
    EXPECT_NE(fixture.answer_to(with_stop).body, first.body) << "the stop must be sent";
}

// If answers do not reach a machine, each would still postpone the time at which its lease counts as expired,
// and the machine would never reconcile.
TEST(HeartbeatHandler, RejectsAnOutboundUnreachableMachineUntilItHasReconciled) {
    HeartbeatHandlerFixture fixture;
    fixture.store_machine("vm-1");
    fixture.recover();
    auto& machine = *fixture.state->cluster.find("vm-1");
    fixture.timers.run_until(machine.lease_renewed_at + 1);
    for (int change = 0; change < 2; ++change)
        machine.reachability.record_heartbeat(false, fixture.timers.now());
    auto status = status_of(machine, 2);
    status["helm"] = 0;
    double renewed_at = machine.lease_renewed_at;
    EXPECT_EQ(fixture.answer_to(status).status, 503);
    EXPECT_EQ(fixture.rejected(HeartbeatRejection::outbound_unreachable), 1u);
    EXPECT_DOUBLE_EQ(machine.lease_renewed_at, renewed_at) << "otherwise its lease would never expire";
}

TEST(HeartbeatHandler, DelegatesAQuietMachineToItsRelayNoLongerThanLeasesMayBeRenewed) {
    LoadedHeartbeatHandlerFixture fixture;
    fixture.lose_authority();
    fixture.timers.run_until(fixture.authority->lease_renewal_deadline() - 1);
    auto relay_answer = fixture.answer_to(fixture.relayed(status_of(fixture.machine, 2)));
    ASSERT_THAT(relay_answer.replies, SizeIs(1));
    EXPECT_EQ(relay_answer.replies[0].status, 200);
    EXPECT_EQ(fixture.delegations.count(), 1u);
    EXPECT_LE(relay_answer.delegation_ms, 1000u);
    double granted_until = fixture.timers.now() + static_cast<double>(relay_answer.delegation_ms) / 1000;
    EXPECT_GE(fixture.delegations.last_possible_renewal(fixture.machine), granted_until);
}

TEST(HeartbeatHandler, DelegatesNoMachineForWhichACommandIsDue) {
    LoadedHeartbeatHandlerFixture fixture;
    fixture.add_running_task("j-1", fixture.machine).stop_requested = true;
    fixture.commands.flush_all();  // the direct stop may not have arrived
    auto status = status_of(fixture.machine, 2);
    status["shards"] = {running_task("j-1", first_attempt)};
    auto relay_answer = fixture.answer_to(fixture.relayed(status));
    ASSERT_THAT(relay_answer.replies, SizeIs(1));
    EXPECT_THAT(verbs(relay_answer.replies[0].body), ElementsAre("kill"));
    EXPECT_EQ(fixture.delegations.count(), 0u);
}

TEST(HeartbeatHandler, IgnoresARelaysMessageForAnotherLeadership) {
    LoadedHeartbeatHandlerFixture fixture;
    auto message = fixture.relayed(status_of(fixture.machine, 2));
    message.leader_version = message.leader_version.next();
    auto relay_answer = fixture.answer_to(message);
    EXPECT_FALSE(relay_answer.is_leader);
    EXPECT_THAT(relay_answer.replies, IsEmpty());
    EXPECT_EQ(fixture.machine.sequence, protocol::SequenceNumber{1});
}

}  // namespace
}  // namespace coralhitch::leader
