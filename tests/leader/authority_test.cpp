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

struct Bench {
    Bench() {
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
    Bench bench;
    ASSERT_TRUE(bench.authority);
    EXPECT_TRUE(bench.authority->holds());
    EXPECT_TRUE(bench.authority->begin_transaction());
    bench.network.cut = true;
    double until = bench.election.authority_expiry();
    bench.timers.run_until(until - 0.01);
    EXPECT_TRUE(bench.authority->holds());
    bench.timers.run_until(until);
    EXPECT_FALSE(bench.authority->holds());
    EXPECT_FALSE(bench.authority->begin_transaction());
}

TEST(Authority, RenewsWorkerLeasesForSomeTimeAfterItsOwnLeaseHasExpired) {
    Bench bench;
    ASSERT_TRUE(bench.authority);
    bench.network.cut = true;
    double until = bench.election.authority_expiry();
    double after = bench.authority->renewal_after_expiry_s();
    ASSERT_GT(after, 0);
    bench.timers.run_until(until + after - 0.01);
    EXPECT_FALSE(bench.authority->holds());
    EXPECT_TRUE(bench.authority->may_renew_worker_leases());
    bench.timers.run_until(until + after + 0.01);
    EXPECT_FALSE(bench.authority->may_renew_worker_leases());
}

TEST(Authority, RenewalsEndWhenCancellationsAreNotKnownRecentlyEnough) {
    Bench bench;
    ASSERT_TRUE(bench.authority);
    double known_until = bench.timers.now();
    bench.cancellations_known_until = known_until;
    double left = relay::renewal_window_s(bench.settings);
    ASSERT_GT(left, 0);
    bench.timers.run_until(known_until + left - 0.01);
    // The leader's lease has been renewed, so cancellations set the earlier deadline.
    EXPECT_DOUBLE_EQ(bench.authority->lease_renewal_deadline(), known_until + left);
    EXPECT_TRUE(bench.authority->may_renew_worker_leases());
    bench.timers.run_until(known_until + left + 0.01);
    EXPECT_FALSE(bench.authority->may_renew_worker_leases());
    EXPECT_TRUE(bench.authority->holds()) << "the leader may still act";
}

TEST(Authority, FencedTransactionChangesNothingAfterALaterElection) {
    Bench bench;
    ASSERT_TRUE(bench.authority);
    auto transaction = bench.authority->fenced_transaction();
    ASSERT_EQ(transaction.conditions.size(), 1u);
    EXPECT_EQ(transaction.conditions[0].key, kv::keys::leader);
    EXPECT_EQ(transaction.conditions[0].version, bench.authority->fencing_token().value());
    EXPECT_EQ(bench.authority->fencing_token().value(), bench.service.kv[kv::keys::leader].version);

    transaction.changes.push_back({"some/key", std::nullopt, 0});
    std::optional<kv::TxnResult::Status> status;
    bench.service.kv[kv::keys::leader].version = ++bench.service.revision;  // another controller is elected
    bench.kv.txn(std::move(transaction), kv::RequestPriority::write,
                 [&](const kv::TxnResult& result) { status = result.status; });
    bench.timers.run_until(bench.timers.now() + 1);
    EXPECT_EQ(status, kv::TxnResult::Status::conflict);
}

TEST(Authority, EndsPermanently) {
    Bench bench;
    ASSERT_TRUE(bench.authority);
    bench.authority->end();
    EXPECT_TRUE(bench.election.may_act());
    EXPECT_TRUE(bench.authority->ended());
    EXPECT_FALSE(bench.authority->holds());
    EXPECT_FALSE(bench.authority->begin_transaction());
    EXPECT_FALSE(bench.authority->may_renew_worker_leases());
}

}  // namespace
}  // namespace coralhitch::leader
