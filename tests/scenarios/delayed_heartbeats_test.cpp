// Tests with a scripted order of messages: copies of old heartbeats that reach every controller just as a new
// leader starts, and commands to machines that are delayed by the network.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "protocol/agent_api.hpp"
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Collects log lines of level error for as long as it exists, in place of the default logger.
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

// Returns the machine of each task of a job that has not exited: task id -> machine id.
std::map<std::string, std::string> task_locations(const SimulatedCluster& cluster, const std::string& job) {
    std::map<std::string, std::string> out;
    for (auto& worker : cluster.workers)
        for (auto& [task, t] : worker->tasks)
            if (!worker->dead && t.job == job && t.status != "exited") out[task] = worker->id;
    return out;
}
void crash_all_controllers(SimulatedCluster& cluster) {
    for (std::size_t n = 0; n < 3; ++n) cluster.crash(n, 0.2);
}

// Keeps copies of heartbeats: for each machine the newest one that was sent before a given time and showed a
// running task.
class HeartbeatCopies {
  public:
    void keep(SimulatedCluster& cluster, double until) {
        cluster.on_message = [this, &cluster, until](const std::string& from, const std::string&,
                                                     const http::Request& request) {
            bool shows = request.target == protocol::paths::heartbeat &&
                         request.body.find("running") != std::string::npos;
            if (shows && cluster.now() < until) kept_[from] = request;
        };
    }
    // Sends all copies to every controller every 0.1 s, so that a copy can be the first heartbeat that a new
    // leader receives from a machine, directly or relayed by another controller.
    void deliver(SimulatedCluster& cluster, double from, double until) {
        for (double time = from; time < until; time += 0.1)
            cluster.at(time, [this, &cluster] {
                for (auto& [machine, heartbeat] : kept_)
                    for (std::size_t n = 0; n < 3; ++n) cluster.copy_to(n, machine, heartbeat);
            });
    }
    std::size_t size() const { return kept_.size(); }

  private:
    std::map<std::string, http::Request> kept_;
};

// An event that makes the copied heartbeats outdated.
struct EventBeforeFailover {
    const char* name;
    // Called after the copies were made and 55 s before the controllers crash.
    void (*happens)(SimulatedCluster& cluster);
};
const EventBeforeFailover events_before_failover[] = {
    // The remaining tasks of the gang are stopped, and the whole gang runs again as its next attempt.
    {"a machine of a gang is deleted",
     [](SimulatedCluster& cluster) {
         auto machine_id = task_locations(cluster, "j-1").begin()->second;
         for (std::size_t k = 0; k < cluster.workers.size(); ++k)
             if (cluster.workers[k]->id == machine_id) cluster.crash_machine(k);
     }},
    {"three machines are in their next agent epoch",
     [](SimulatedCluster& cluster) {
         for (std::size_t k : {0, 2, 4}) cluster.reboot_machine(k, false);
     }},
    {"three machines are partitioned for longer than a lease",
     [](SimulatedCluster& cluster) {
         for (std::size_t k : {0, 2, 4}) cluster.partition("10.1.0." + std::to_string(k + 1), "10.0.", 40);
         cluster.start_cloud_outage(40);
     }},
};
class OldHeartbeats : public testing::TestWithParam<EventBeforeFailover> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, OldHeartbeats, testing::ValuesIn(events_before_failover),
                         NameOfCase());
// Guards against restarts of running tasks by a new leader without a replica. An old heartbeat that the
// leader received first showed a task on one machine, and the next heartbeat of that machine no longer showed
// it. The leader then started the task again, for a gang all of its tasks, although it ran on another
// machine.
TEST_P(OldHeartbeats, MoveNothingAtTheNextLeader) {
    ErrorLog log;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Options options;
        options.seed = seed;
        SimulatedCluster cluster(options);
        HeartbeatCopies copies;
        copies.keep(cluster, 25);
        cluster.at(2, [&cluster] {
            cluster.submit("j-1", "gang", 3, 150, {{"cards", 3.0}});
            cluster.submit("j-2", "batch", 4, 150);
            cluster.submit("j-3", "service", 3, 0, {{"cards", 2.0}});
        });
        cluster.at(25, [&cluster] { GetParam().happens(cluster); });
        cluster.run_until(24);
        std::map<std::string, std::map<std::string, std::string>> before, now;
        for (auto* job : {"j-1", "j-2", "j-3"}) before[job] = task_locations(cluster, job);
        cluster.run_until(80);
        for (auto* job : {"j-1", "j-2", "j-3"}) now[job] = task_locations(cluster, job);
        EXPECT_NE(before, now);
        EXPECT_GE(copies.size(), 3u);
        auto starts = cluster.starts;
        crash_all_controllers(cluster);
        copies.deliver(cluster, 80.2, 92);
        cluster.run_until(100);
        EXPECT_EQ(cluster.starts, starts);
        for (auto* job : {"j-1", "j-2", "j-3"}) EXPECT_EQ(task_locations(cluster, job), now[job]) << job;
        cluster.cancel("j-3");
        cluster.run_until(300);
        EXPECT_TRUE(cluster.jobs["j-1"].done && cluster.jobs["j-2"].done && cluster.jobs["j-3"].cancelled);
        EXPECT_EQ(cluster.restarts_of_done_tasks, 0u);
        expect_no_violations(cluster);
    }
    EXPECT_EQ(log.text(), "");
}

// Guards against ignoring the heartbeats of a rebooted machine. The machine keeps its name but starts again
// at low agent epochs and sequence numbers, and the leader has already received copies of heartbeats from
// before the reboot with higher ones.
TEST(OldHeartbeats, OfAnEarlierIncarnationDoNotShutAMachineOut) {
    ErrorLog log;
    SimulatedCluster cluster({});
    HeartbeatCopies copies;
    copies.keep(cluster, 40);
    cluster.at(2, [&cluster] { cluster.submit("j-1", "batch", 6, 100); });
    cluster.run_until(40);
    for (std::size_t k = 0; k < 6; ++k) cluster.reboot_machine(k, true);
    crash_all_controllers(cluster);
    copies.deliver(cluster, 40.2, 52);
    cluster.run_until(60);  // less than a worker's lease (24 s) after the crash
    EXPECT_EQ(task_locations(cluster, "j-1").size(), 6u);
    cluster.run_until(220);
    EXPECT_TRUE(cluster.jobs["j-1"].done);
    expect_no_violations(cluster);
    EXPECT_EQ(log.text(), "");
}

bool body_contains(const http::Request& request, const char* verb) {
    return request.body.find(verb) != std::string::npos;
}

// The `run` commands of a leader are delayed by some seconds and the leader crashes. The commands arrive
// before the next leader is elected, as it starts, or after its own commands. They must violate no invariant.
class DelayedStart : public testing::TestWithParam<std::tuple<double, bool>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, DelayedStart,
                         testing::Combine(testing::Values(2.0, 5.0, 6.0, 7.0, 9.0, 16.0), testing::Bool()),
                         [](auto& info) {
                             auto delay_s = std::get<0>(info.param);
                             auto all = std::get<1>(info.param);
                             return "By" + seconds_name(delay_s) +
                                    (all ? "AllControllersCrash" : "LeaderCrashes");
                         });
TEST_P(DelayedStart, OfACrashedLeaderBreaksNoRule) {
    ErrorLog log;
    auto [delay_s, all_crash] = GetParam();
    SimulatedCluster cluster({});
    bool run_was_delayed = false;
    cluster.at(20, [&cluster] {
        cluster.submit("j-1", "batch", 6, 30, {{"crew", "tight"}});
        cluster.submit("j-2", "gang", 3, 30, {{"together", true}});
    });
    cluster.command_delay = [&, delay_s = delay_s, all_crash = all_crash](auto&, auto& request) {
        if (!body_contains(request, "run")) return 0.0;
        if (cluster.now() < 20 || cluster.now() > 24) return 0.0;
        if (!std::exchange(run_was_delayed, true))
            cluster.at(cluster.now() + 0.005, [&cluster, all_crash] {
                if (all_crash) return crash_all_controllers(cluster);
                if (auto leader = cluster.leader()) cluster.crash(*leader, 0.2);
            });
        return delay_s;
    };
    cluster.run_until(150);
    EXPECT_TRUE(run_was_delayed);
    EXPECT_TRUE(cluster.jobs["j-1"].done && cluster.jobs["j-2"].done);
    EXPECT_EQ(cluster.restarts_of_done_tasks, 0u);
    expect_no_violations(cluster);
    EXPECT_EQ(log.text(), "");
}

// Guards against starting a task that is already over. The `run` command of a leader is delayed while the
// leader stays the same. Before the command arrives, the task was started by the answer to a heartbeat, ended
// and was forgotten by the worker, or the task was cancelled before it started.
struct EndedTask {
    const char* name;
    double run_s;         // run time of the task
    double cancel_after;  // time in s from sending `run` to the cancellation; 0 if the task ends by itself
    bool delays_kill;     // the `kill` command is delayed as well, 1 s longer than `run`
};
const EndedTask ended_tasks[] = {
    {"done", 1, 0, false},
    {"cancelled before it ran", 60, 0.1, false},
    {"cancelled before it ran, and the kill comes last", 60, 0.1, true},
    {"cancelled while it ran", 60, 5, false},
    {"cancelled while it ran, and the kill comes last", 60, 5, true},
};
class DelayedStartOfTheSameLeader : public testing::TestWithParam<std::tuple<EndedTask, double>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, DelayedStartOfTheSameLeader,
                         testing::Combine(testing::ValuesIn(ended_tasks),
                                          testing::Values(3.0, 7.0, 12.0, 16.0)),
                         [](auto& info) {
                             auto ended_task = std::get<0>(info.param);
                             auto delay_s = std::get<1>(info.param);
                             return camel_case(ended_task.name) + "By" + seconds_name(delay_s);
                         });
TEST_P(DelayedStartOfTheSameLeader, StartsNothingThatHasEnded) {
    ErrorLog log;
    auto [ended_task, delay_s] = GetParam();
    SimulatedCluster cluster({});
    bool run_was_delayed = false;
    cluster.at(20, [&cluster, run_s = ended_task.run_s] { cluster.submit("j-1", "batch", 1, run_s); });
    cluster.command_delay = [&, ended_task = ended_task, delay_s = delay_s](auto&, auto& request) {
        if (body_contains(request, "\"kill\"") && ended_task.delays_kill) return delay_s + 1;
        if (!body_contains(request, "\"run\"") || std::exchange(run_was_delayed, true)) return 0.0;
        if (ended_task.cancel_after > 0)
            cluster.at(cluster.now() + ended_task.cancel_after, [&cluster] { cluster.cancel("j-1"); });
        return delay_s;
    };
    std::size_t starts = 0;
    cluster.at(33, [&] { starts = cluster.starts; });
    cluster.run_until(120);
    EXPECT_TRUE(run_was_delayed);
    EXPECT_LE(cluster.starts, 1u);
    EXPECT_EQ(cluster.starts, starts);  // the late commands started nothing
    EXPECT_TRUE(task_locations(cluster, "j-1").empty());
    EXPECT_EQ(cluster.restarts_of_done_tasks, 0u);
    EXPECT_TRUE(ended_task.cancel_after > 0 ? cluster.jobs["j-1"].cancelled : cluster.jobs["j-1"].done);
    expect_no_violations(cluster);
    EXPECT_EQ(log.text(), "");
}

}  // namespace
}  // namespace coralhitch::simulation
