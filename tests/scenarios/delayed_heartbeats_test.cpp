// Copies of reports that reach every controller just as a new leader begins, and direct commands that are
// held up on their way: scripted cases, with the order of messages fixed.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "protocol/agent_api.hpp"
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {

// What the log says at level error meanwhile.
class ErrorLog {
  public:
    ErrorLog() : before_(spdlog::default_logger()) {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(text_);
        auto logger = std::make_shared<spdlog::logger>("errors", sink);
        logger->set_level(spdlog::level::err);
        spdlog::set_default_logger(logger);
    }
    ~ErrorLog() { spdlog::set_default_logger(before_); }
    std::string text() const { return text_.str(); }

  private:
    std::ostringstream text_;
    std::shared_ptr<spdlog::logger> before_;
};

void expect_unbroken(const SimulatedCluster& w) {
    for (auto& b : w.broken) ADD_FAILURE() << b;
}
// Where each task of a job is.
std::map<std::string, std::string> places(const SimulatedCluster& w, const std::string& job) {
    std::map<std::string, std::string> out;
    for (auto& m : w.workers)
        for (auto& [task, t] : m->tasks)
            if (!m->dead && t.job == job && t.status != "exited") out[task] = m->id;
    return out;
}
void end_all(SimulatedCluster& w) {
    for (std::size_t n = 0; n < 3; ++n) w.crash(n, 0.2);
}

// Of each machine the newest report that was sent before some time and showed a task.
class Copies {
  public:
    void keep(SimulatedCluster& w, double until) {
        w.sent = [this, &w, until](const std::string& from, const std::string&, const http::Request& r) {
            bool shows =
                r.target == protocol::paths::heartbeat && r.body.find("running") != std::string::npos;
            if (shows && w.now() < until) kept_[from] = r;
        };
    }
    // They reach every controller again and again, so that each may be the first that a new leader hears, or
    // come through another controller.
    void deliver(SimulatedCluster& w, double from, double until) {
        for (double t = from; t < until; t += 0.1)
            w.at(t, [this, &w] {
                for (auto& [machine, r] : kept_)
                    for (std::size_t n = 0; n < 3; ++n) w.copy_to(n, machine, r);
            });
    }
    std::size_t size() const { return kept_.size(); }

  private:
    std::map<std::string, http::Request> kept_;
};

struct Meanwhile {
    const char* name;
    void (*happens)(SimulatedCluster& w);  // after the copies were made, and well before the leader ends
};
const Meanwhile meanwhiles[] = {
    // The rest of the gang was stopped and cleared, and runs under its next attempt.
    {"a machine of a gang is deleted",
     [](SimulatedCluster& w) {
         auto on = places(w, "j-1").begin()->second;
         for (std::size_t k = 0; k < w.workers.size(); ++k)
             if (w.workers[k]->id == on) w.die(k);
     }},
    {"three machines are in their next session",
     [](SimulatedCluster& w) {
         for (std::size_t k : {0, 2, 4}) w.reboot(k, false);
     }},
    {"three machines are cut off for longer than a lease",
     [](SimulatedCluster& w) {
         for (std::size_t k : {0, 2, 4}) w.cut("10.1.0." + std::to_string(k + 1), "10.0.", 40, false);
         w.cloud_down(40);
     }},
};
class OldReports : public testing::TestWithParam<Meanwhile> {};
INSTANTIATE_TEST_SUITE_P(Meeting, OldReports, testing::ValuesIn(meanwhiles));
// The new leader, which nobody has told anything, moved tasks that ran, gangs whole, because an old report
// that it heard first showed one of them elsewhere and the next report of that machine did not.
TEST_P(OldReports, AtTheNextLeaderMoveNothing) {
    ErrorLog log;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Options o;
        o.seed = seed;
        SimulatedCluster w(o);
        Copies copies;
        copies.keep(w, 25);
        w.at(2, [&w] {
            w.submit("j-1", "gang", 3, 150, {{"cards", 3.0}});
            w.submit("j-2", "batch", 4, 150);
            w.submit("j-3", "service", 3, 0, {{"cards", 2.0}});
        });
        w.at(25, [&w] { GetParam().happens(w); });
        w.run_until(24);
        std::map<std::string, std::map<std::string, std::string>> before, now;
        for (auto* j : {"j-1", "j-2", "j-3"}) before[j] = places(w, j);
        w.run_until(80);
        for (auto* j : {"j-1", "j-2", "j-3"}) now[j] = places(w, j);
        EXPECT_NE(before, now);
        EXPECT_GE(copies.size(), 3u);
        auto starts = w.starts;
        end_all(w);
        copies.deliver(w, 80.2, 92);
        w.run_until(100);
        EXPECT_EQ(w.starts, starts);
        for (auto* j : {"j-1", "j-2", "j-3"}) EXPECT_EQ(places(w, j), now[j]) << j;
        w.cancel("j-3");
        w.run_until(300);
        EXPECT_TRUE(w.jobs["j-1"].done && w.jobs["j-2"].done && w.jobs["j-3"].cancelled);
        EXPECT_EQ(w.done_again, 0u);
        expect_unbroken(w);
    }
    EXPECT_EQ(log.text(), "");
}

// Machines back under their names begin with low numbers. The copies of their earlier lives come first.
TEST(OldReports, OfAnEarlierLifeDoNotShutAMachineOut) {
    ErrorLog log;
    SimulatedCluster w({});
    Copies copies;
    copies.keep(w, 40);
    w.at(2, [&w] { w.submit("j-1", "batch", 6, 100); });
    w.run_until(40);
    for (std::size_t k = 0; k < 6; ++k) w.reboot(k, true);
    end_all(w);
    copies.deliver(w, 40.2, 52);
    w.run_until(60);  // less than a lease later
    EXPECT_EQ(places(w, "j-1").size(), 6u);
    w.run_until(220);
    EXPECT_TRUE(w.jobs["j-1"].done);
    expect_unbroken(w);
    EXPECT_EQ(log.text(), "");
}

bool has(const http::Request& r, const char* verb) {
    return r.body.find(verb) != std::string::npos;
}

// The leader's direct `run`s are held up for some seconds and the leader ends, so that they arrive before the
// next one leads, as it begins, or after its own commands.
class HeldRun : public testing::TestWithParam<std::tuple<double, bool>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, HeldRun,
                         testing::Combine(testing::Values(2.0, 5.0, 6.0, 7.0, 9.0, 16.0), testing::Bool()));
TEST_P(HeldRun, OfALeaderThatEnded) {
    ErrorLog log;
    auto [late_s, all] = GetParam();
    SimulatedCluster w({});
    bool held = false;
    w.at(20, [&w] {
        w.submit("j-1", "batch", 6, 30, {{"crew", "tight"}});
        w.submit("j-2", "gang", 3, 30, {{"together", true}});
    });
    w.late_command = [&, late_s = late_s, all = all](auto&, auto& r) {
        if (!has(r, "run")) return 0.0;
        if (w.now() < 20 || w.now() > 24) return 0.0;
        if (!std::exchange(held, true))
            w.at(w.now() + 0.005, [&w, all] {
                if (all) return end_all(w);
                if (auto l = w.leader(); l >= 0) w.crash(static_cast<std::size_t>(l), 0.2);
            });
        return late_s;
    };
    w.run_until(150);
    EXPECT_TRUE(held);
    EXPECT_TRUE(w.jobs["j-1"].done && w.jobs["j-2"].done);
    EXPECT_EQ(w.done_again, 0u);
    expect_unbroken(w);
    EXPECT_EQ(log.text(), "");
}

// The same leader's `run` is held up, and what it was for is over when it arrives: the task has run by the
// one in the answer to a report and was forgotten, or was called off before that.
struct Over {
    const char* name;
    double run_s;         // of the task
    double cancel_after;  // s after the `run` was sent; 0: it ends by itself
    bool stop_too;        // the direct `kill` is held up, too, for longer
};
const Over overs[] = {
    {"done", 1, 0, false},
    {"cancelled before it ran", 60, 0.1, false},
    {"cancelled before it ran, and the kill comes last", 60, 0.1, true},
    {"cancelled while it ran", 60, 5, false},
    {"cancelled while it ran, and the kill comes last", 60, 5, true},
};
class HeldRunOfTheSameLeader : public testing::TestWithParam<std::tuple<Over, double>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, HeldRunOfTheSameLeader,
                         testing::Combine(testing::ValuesIn(overs), testing::Values(3.0, 7.0, 12.0, 16.0)));
TEST_P(HeldRunOfTheSameLeader, StartsNothingThatIsOver) {
    ErrorLog log;
    auto [over, late_s] = GetParam();
    SimulatedCluster w({});
    bool held = false;
    w.at(20, [&w, s = over.run_s] { w.submit("j-1", "batch", 1, s); });
    w.late_command = [&, over = over, late_s = late_s](auto&, auto& r) {
        if (has(r, "\"kill\"") && over.stop_too) return late_s + 1;
        if (!has(r, "\"run\"") || std::exchange(held, true)) return 0.0;
        if (over.cancel_after > 0) w.at(w.now() + over.cancel_after, [&w] { w.cancel("j-1"); });
        return late_s;
    };
    std::size_t starts = 0;
    w.at(33, [&] { starts = w.starts; });
    w.run_until(120);
    EXPECT_TRUE(held);
    EXPECT_LE(w.starts, 1u);
    EXPECT_EQ(w.starts, starts);  // nothing by then that was not there before the last ones arrived
    EXPECT_TRUE(places(w, "j-1").empty());
    EXPECT_EQ(w.done_again, 0u);
    EXPECT_TRUE(over.cancel_after > 0 ? w.jobs["j-1"].cancelled : w.jobs["j-1"].done);
    expect_unbroken(w);
    EXPECT_EQ(log.text(), "");
}

}  // namespace
}  // namespace coralhitch::simulation
