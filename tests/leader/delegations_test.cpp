// Tests of Delegations: the last moment at which a relay can have renewed a machine's lease stays known after
// the delegation has ended. Otherwise the lease would count as expired too early.
#include "leader/delegations.hpp"

#include <gtest/gtest.h>

#include "protocol/peer_messages.hpp"

namespace coralhitch::leader {
namespace {

struct DelegationsFixture {
    DelegationsFixture() {
        machine.lease_renewed_at = 10;
        EXPECT_TRUE(take_message(1, 1));
        delegations.table().delegate("vm-1", "controller-1");
        (void)delegations.table().extend("controller-1", 25);  // the relay may renew leases until 25 s
    }
    bool take_message(std::uint64_t incarnation, std::uint64_t number) {
        protocol::RelayRequest message;
        message.label = "controller-1";
        message.incarnation = protocol::Incarnation{incarnation};
        message.sequence_number = number;
        return delegations.accept_relay_message(message);
    }
    cluster::ClusterState cluster{protocol::LeaderVersion{7}, {}};
    cluster::Machine& machine =
        cluster.add("vm-1", "10.1.0.1:9", "g4", "a", false, cluster::Machine::Lifecycle::up, 0);
    Delegations delegations{cluster};
};

TEST(Delegations, CountsRenewalsByTheRelayDuringTheDelegation) {
    DelegationsFixture fixture;
    EXPECT_EQ(fixture.delegations.count(), 1u);
    EXPECT_DOUBLE_EQ(fixture.delegations.last_possible_renewal(fixture.machine), 25);
}

TEST(Delegations, CountsRenewalsByTheRelayAfterTheRevocation) {
    DelegationsFixture fixture;
    fixture.delegations.revoke("vm-1");
    EXPECT_EQ(fixture.delegations.count(), 0u);
    EXPECT_EQ(fixture.machine.delegation_expiry, 25);
    EXPECT_DOUBLE_EQ(fixture.delegations.last_possible_renewal(fixture.machine), 25);
    fixture.machine.lease_renewed_at = 40;
    EXPECT_DOUBLE_EQ(fixture.delegations.last_possible_renewal(fixture.machine), 40);
}

TEST(Delegations, EndsTheDelegationsOfARestartedRelay) {
    DelegationsFixture fixture;
    EXPECT_TRUE(fixture.take_message(2, 1));
    EXPECT_EQ(fixture.delegations.count(), 0u);
    EXPECT_EQ(fixture.machine.delegation_expiry, 25);
}

TEST(Delegations, RejectsARelaysMessageThatIsOlderThanAPreviousOne) {
    DelegationsFixture fixture;
    EXPECT_TRUE(fixture.take_message(1, 3));
    EXPECT_FALSE(fixture.take_message(1, 2));
}

}  // namespace
}  // namespace coralhitch::leader
