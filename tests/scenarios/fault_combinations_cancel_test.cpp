// Jobs that are cancelled in the seconds in which one controller's work changes hands.
#include "protocol/agent_api.hpp"
#include "scenarios/fault_combinations_support.hpp"

namespace coralhitch::simulation {
namespace {

// Through this controller, and no other.
void cancel_at(SimulatedCluster& w, std::size_t node, const std::string& id) {
    w.jobs[id].cancel_asked = true;
    w.ask_node(node, {"POST", "/api/jobs/" + id + "/cancel", ""}, [&w, id](http::Response r) {
        if (r.status != 200 || w.jobs[id].cancelled) return;
        w.jobs[id].cancelled = true;
        w.jobs[id].cancelled_at = w.now();
    });
}
// The service's answers to this controller don't show that the job is cancelled, so that only notices tell
// it. Users are not led there: it would tell them what it was told.
void keep_from(SimulatedCluster& w, std::size_t node, const std::string& id) {
    w.hide_from(node, id);
    w.no_users(node);
}
// Two jobs on all machines, one that is cancelled and one that stays.
void fill(SimulatedCluster& w) {
    w.at(2, [&w] {
        w.submit("j-1", "batch", 6, 300);
        w.submit("j-2", "service", 6, 0);
    });
    w.run_until(30);
    ASSERT_EQ(on_machines(w, "j-1"), 6u);
    ASSERT_EQ(on_machines(w, "j-2"), 6u);
}

// The confirming controller's notice is lost, and the leader's watch does not say it either.
TEST(Meeting, ANoticeOfACancellationThatIsLostIsRepeated) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster w({});
    fill(w);
    auto leader = lead(w), other = (leader + 1) % 3;
    keep_from(w, leader, "j-1");
    w.cut(host_of(other), host_of(leader), 3, false);
    cancel_at(w, other, "j-1");
    w.run_until(32);
    ASSERT_TRUE(w.jobs["j-1"].cancelled);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    w.run_until(36);
    EXPECT_EQ(on_machines(w, "j-1"), 0u);
    w.run_until(90);
    EXPECT_EQ(on_machines(w, "j-2"), 6u);
    expect_unbroken(w);
}

// Between the end of a lease and the first decision of the next leader. What leads next may have listed the
// jobs before or after; its watch says nothing of it, and the notice may come before it has read them.
class BetweenTwoLeaders : public testing::TestWithParam<std::tuple<double, std::size_t>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, BetweenTwoLeaders,
                         testing::Combine(testing::Values(0.01, 0.5, 1.0, 1.5, 1.9, 2.1, 2.2, 2.3, 2.4, 2.5,
                                                          2.6, 2.8, 3.2),
                                          testing::Values(1, 2)));
TEST_P(BetweenTwoLeaders, CancelledTasksGoWithTheFirstDecision) {
    spdlog::set_level(spdlog::level::off);
    auto [after, through] = GetParam();
    SimulatedCluster w({});
    fill(w);
    auto old = lead(w), confirms = (old + through) % 3, next = (old + 3 - through) % 3;
    w.crash(old, 8);
    w.at(30 + after, [&, confirms = confirms] {
        keep_from(w, next, "j-1");
        cancel_at(w, confirms, "j-1");
    });
    w.run_until(30 + after + 1);
    ASSERT_TRUE(w.jobs["j-1"].cancelled);
    w.run_until(38);
    EXPECT_EQ(on_machines(w, "j-1"), 0u);
    w.run_until(100);
    EXPECT_EQ(on_machines(w, "j-2"), 6u);
    expect_unbroken(w);
}

// The same at each moment of a failover that is slow to read: the first notice comes while the list is read,
// and what the list says is older.
class WhileTheNextOneReads : public testing::TestWithParam<double> {};
INSTANTIATE_TEST_SUITE_P(Meeting, WhileTheNextOneReads, testing::Range(0.0, 1.2, 0.1));
TEST_P(WhileTheNextOneReads, TheNoticeIsNotLost) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster w({});
    fill(w);
    auto old = lead(w);
    std::optional<double> claimed;
    w.sent = [&](auto& from, auto&, auto& r) {
        bool claim = r.target == "/txn" && r.body.find(R"("put":"leader")") != std::string::npos;
        if (!claim || claimed || w.now() < 30) return;
        claimed = w.now();
        std::size_t next = from == w.addr_of(0) ? 0 : from == w.addr_of(1) ? 1 : 2;
        w.at(w.now() + GetParam(), [&w, next, old] {
            keep_from(w, next, "j-1");
            cancel_at(w, 3 - next - old, "j-1");
        });
    };
    w.crash(old, 12);
    w.slow_state(6, 0.25);
    w.run_until(41);
    ASSERT_TRUE(claimed);
    ASSERT_TRUE(w.jobs["j-1"].cancelled);
    EXPECT_EQ(on_machines(w, "j-1"), 0u);
    w.run_until(100);
    EXPECT_EQ(on_machines(w, "j-2"), 6u);
    expect_unbroken(w);
}

// The relays change their leader: reports that they hold go to the next one, commands reach no machine soon
// after, and the cloud deletes nothing. No answer may give a cancelled task more than its time.
class RelaysChangeTheirLeader : public testing::TestWithParam<std::tuple<double, double>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, RelaysChangeTheirLeader,
                         testing::Combine(testing::Values(0.1, 1.5, 2.3, 3.0),
                                          testing::Values(0.2, 1.0, 3.0)));
TEST_P(RelaysChangeTheirLeader, NoLeaseIsRenewedForACancelledTask) {
    spdlog::set_level(spdlog::level::off);
    auto [after, cut_after] = GetParam();
    Options o;
    o.machines = 9;
    SimulatedCluster w(o);
    w.at(2, [&w] {
        w.submit("j-1", "batch", 9, 300);
        w.submit("j-2", "service", 9, 0);
    });
    w.run_until(40);
    ASSERT_EQ(on_machines(w, "j-1"), 9u);
    auto old = lead(w);
    w.cloud_down(100);
    w.cut(host_of(old), "10.1.", 20, true);  // what it has sent comes 20 s later
    w.at(40.3, [&w, old] { w.crash(old, 0.2); });
    w.at(40 + after, [&w] { w.cancel("j-1"); });
    w.at(40 + after + cut_after, [&w] { w.cut_one_way("10.0.", "10.1.", 60, false); });
    w.run_until(160);
    ASSERT_TRUE(w.jobs["j-1"].cancelled);
    EXPECT_EQ(on_machines(w, "j-1"), 0u);
    w.run_until(200);
    EXPECT_EQ(on_machines(w, "j-2"), 9u);
    expect_unbroken(w);
}

// Starts of the leader that ends are held up on their way, the next one starts the rest, and the job is
// cancelled before, between or after.
class StartsOfEither : public testing::TestWithParam<std::tuple<double, bool>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, StartsOfEither,
                         testing::Combine(testing::Values(0.05, 0.5, 2.2, 2.8, 4.0, 7.0), testing::Bool()));
TEST_P(StartsOfEither, AreGoneOnceTheyHaveCome) {
    spdlog::set_level(spdlog::level::off);
    auto [after, warm] = GetParam();
    Options o;
    o.machines = 8;
    if (!warm) o.without_replication = {0, 1, 2};
    SimulatedCluster w(o);
    w.at(2, [&w] { w.submit("j-2", "service", 8, 0); });
    w.run_until(29.5);
    auto old = lead(w);
    std::optional<double> begun;
    w.sent = [&](auto&, auto&, auto& r) {
        bool starts = r.target == protocol::paths::commands && r.body.find("j-1/") != std::string::npos;
        if (!starts || begun) return;
        begun = w.now();
        w.at(w.now() + 0.004, [&w, old] {
            w.cut(host_of(old), "10.1.", 5, true);
            w.crash(old, 9);
        });
        w.at(w.now() + after, [&w] { w.cancel("j-1"); });
    };
    w.at(30, [&w] { w.submit("j-1", "batch", 12, 300); });
    w.run_until(52);
    ASSERT_TRUE(begun);
    ASSERT_TRUE(w.jobs["j-1"].cancelled);
    EXPECT_EQ(on_machines(w, "j-1"), 0u);
    w.run_until(120);
    EXPECT_EQ(on_machines(w, "j-2"), 8u);
    expect_unbroken(w);
}

}  // namespace
}  // namespace coralhitch::simulation
