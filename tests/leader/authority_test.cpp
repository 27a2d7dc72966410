// Authority: holds only within the leader's lease, allows the renewal of agents' leases only while
// cancellations are known recently enough, and fences every transaction with the version of the leader key.
// Otherwise two leaders could act at the same time, or a cancelled task could run for too long.
#include "leader/authority.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"
#include "relay/worker_lease.hpp"

namespace coralhitch::leader {
namespace {

// Forwards requests, and loses all of them while `cut` is set.
class CuttableNetwork : public http::Requester {
  public:
    CuttableNetwork(FakeTimers& timers, http::Requester& network) : timers_(timers), network_(network) {}
    bool cut = false;
    void send(const std::string& addr, http::Request request, double timeout, http::Result result) override {
        if (cut)
            timers_.after(timeout, [result] { result(std::nullopt); });
        else
            network_.send(addr, std::move(request), timeout, std::move(result));
    }

  private:
    FakeTimers& timers_;
    http::Requester& network_;
};

struct AuthorityFixture {
    AuthorityFixture() {
        spdlog::set_level(spdlog::level::off);
        settings.cancel_s = 60;
        election.start({[this](protocol::LeaderVersion token) {
                            authority = std::make_unique<Authority>(
                                timers, settings, election, token,
                                [this] { return cancellations_known_until.value_or(timers.now()); });
                        },
                        [] {}});
        timers.run_until(5);
    }
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    FakeLeases leases{timers, service};
    CuttableNetwork network{timers, leases};
    config::Settings settings = LeadingFixture::single_controller_settings();
    kv::KvClient kv{timers, network, settings};
    election::Election election{timers, kv, settings, protocol::Incarnation{77}, 1};
    std::optional<double> cancellations_known_until;  // if empty, all until the current time
    std::unique_ptr<Authority> authority;
};

TEST(Authority, ActsOnlyWithinItsLease) {
    AuthorityFixture fixture;
    ASSERT_TRUE(fixture.authority);
    EXPECT_TRUE(fixture.authority->holds());
    EXPECT_TRUE(fixture.authority->begin_transaction());
    fixture.network.cut = true;
    double until = fixture.election.authority_expiry();
    fixture.timers.run_until(until - 0.01);
    EXPECT_TRUE(fixture.authority->holds());
    fixture.timers.run_until(until);
    EXPECT_FALSE(fixture.authority->holds());
    EXPECT_FALSE(fixture.authority->begin_transaction());
}

TEST(Authority, RenewsWorkerLeasesForSomeTimeAfterItsOwnLeaseHasExpired) {
    AuthorityFixture fixture;
    ASSERT_TRUE(fixture.authority);
    fixture.network.cut = true;
    double until = fixture.election.authority_expiry();
    double after = fixture.authority->renewal_after_expiry_s();
    ASSERT_GT(after, 0);
    fixture.timers.run_until(until + after - 0.01);
    EXPECT_FALSE(fixture.authority->holds());
    EXPECT_TRUE(fixture.authority->may_renew_worker_leases());
    fixture.timers.run_until(until + after + 0.01);
    EXPECT_FALSE(fixture.authority->may_renew_worker_leases());
}

TEST(Authority, RenewalsEndWhenCancellationsAreNotKnownRecentlyEnough) {
    AuthorityFixture fixture;
    ASSERT_TRUE(fixture.authority);
    double known_until = fixture.timers.now();
    fixture.cancellations_known_until = known_until;
    double left = relay::renewal_window_s(fixture.settings);
    ASSERT_GT(left, 0);
    fixture.timers.run_until(known_until + left - 0.01);
    // The leader's lease has been renewed, so cancellations set the earlier deadline.
    EXPECT_DOUBLE_EQ(fixture.authority->lease_renewal_deadline(), known_until + left);
    EXPECT_TRUE(fixture.authority->may_renew_worker_leases());
    fixture.timers.run_until(known_until + left + 0.01);
    EXPECT_FALSE(fixture.authority->may_renew_worker_leases());
    EXPECT_TRUE(fixture.authority->holds()) << "the leader may still act";
}

TEST(Authority, FencedTransactionChangesNothingAfterALaterElection) {
    AuthorityFixture fixture;
    ASSERT_TRUE(fixture.authority);
    auto transaction = fixture.authority->fenced_transaction();
    ASSERT_EQ(transaction.conditions.size(), 1u);
    EXPECT_EQ(transaction.conditions[0].key, kv::keys::leader);
    EXPECT_EQ(transaction.conditions[0].version, fixture.authority->fencing_token().value());
    EXPECT_EQ(fixture.authority->fencing_token().value(), fixture.service.kv[kv::keys::leader].version);

    transaction.changes.push_back({"some/key", std::nullopt, 0});
    std::optional<kv::TxnResult::Status> status;
    fixture.service.kv[kv::keys::leader].version =
        ++fixture.service.revision;  // another controller is elected
    fixture.kv.txn(std::move(transaction), kv::RequestPriority::write,
                   [&](const kv::TxnResult& result) { status = result.status; });
    fixture.timers.run_until(fixture.timers.now() + 1);
    EXPECT_EQ(status, kv::TxnResult::Status::conflict);
}

TEST(Authority, EndsPermanently) {
    AuthorityFixture fixture;
    ASSERT_TRUE(fixture.authority);
    fixture.authority->end();
    EXPECT_TRUE(fixture.election.may_act());
    EXPECT_TRUE(fixture.authority->ended());
    EXPECT_FALSE(fixture.authority->holds());
    EXPECT_FALSE(fixture.authority->begin_transaction());
    EXPECT_FALSE(fixture.authority->may_renew_worker_leases());
}

}  // namespace
}  // namespace coralhitch::leader
