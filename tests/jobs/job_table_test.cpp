// Tests of JobTable: dependencies between jobs, their outcomes, and the order in which ends are stored.
#include "jobs/job_table.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "protocol/model.hpp"

namespace coralhitch::jobs {
namespace {
using protocol::JobState;
using protocol::Priority;

struct JobSpec {
    std::string id;
    std::vector<std::string> awaits;
    Priority priority = Priority::low;
    std::optional<double> deadline_s = {};
    bool cancelled = false;
};
protocol::JobRecord record(const JobSpec& s, std::uint32_t tasks = 1) {
    protocol::JobRecord r;
    r.job.id = s.id;
    r.job.dependencies = s.awaits;
    r.job.priority = s.priority;
    r.job.deadline_s = s.deadline_s;
    r.job.estimated_run_s = 10;
    r.job.tasks = tasks;
    r.submitted = 100;
    r.cancelled = s.cancelled;
    return r;
}
// b1 and b2 depend on a, c on both, d on a and c; x has no dependencies.
const std::vector<JobSpec> diamond{{"a", {}},
                                   {"b1", {"a"}},
                                   {"b2", {"a"}},
                                   {"c", {"b1", "b2"}, Priority::normal},
                                   {"d", {"a", "c"}, Priority::high, 90},
                                   {"x", {}}};

struct Case {
    const char* name;
    std::function<void(JobTable&)> apply;
    std::set<std::string> may_start, cancelled, unresolved;
};
const Case cases[] = {
    {"as submitted", [](JobTable&) {}, {"a", "x"}, {}, {}},
    {"the first job is done",
     [](JobTable& table) {
         table.erase("a", 50);
         table.apply_outcome("a", JobState::done, 130);
     },
     {"b1", "b2", "x"},
     {},
     {}},
    {"the first job has left the table with its outcome unknown: it may have been cancelled",
     [](JobTable& table) { table.erase("a", 50); },
     {"x"},
     {},
     {"a"}},
    {"one of two dependencies is done",
     [](JobTable& table) {
         table.erase("a", 50);
         table.apply_outcome("a", JobState::done, 130);
         table.erase("b1", 51);
         table.apply_outcome("b1", JobState::done, 131);
     },
     {"b2", "x"},
     {},
     {}},
    {"the first job is cancelled by its user",
     [](JobTable& table) {
         table.put("a", 20, record({"a", {}, Priority::low, {}, true}));
     },
     {"x"},
     {"a", "b1", "b2", "c", "d"},
     {}},
    {"a job in the middle is cancelled, announced by a controller",
     [](JobTable& table) { table.cancel("b2", 0); },
     {"a", "x"},
     {"b2", "c", "d"},
     {}},
    {"the first job was cancelled under an earlier leader",
     [](JobTable& table) {
         table.erase("a", 50);
         table.apply_outcome("a", JobState::cancelled, {});
     },
     {"x"},
     {"b1", "b2", "c", "d"},
     {}},
    {"a dependent of a cancelled job arrives later; a newer copy of its record changes nothing",
     [](JobTable& table) {
         table.cancel("b2", 0);
         table.put("y", 30, record({"y", {"c"}}));
         table.put("y", 31, record({"y", {"c"}}));
     },
     {"a", "x"},
     {"b2", "c", "d", "y"},
     {}},
    {"all dependents have ended: the outcome of the dependency is not needed",
     [](JobTable& table) {
         table.erase("d", 60);
         table.erase("c", 61);
         table.erase("b1", 62);
     },
     {"a", "x"},
     {},
     {}},
};

TEST(JobTable, BlocksJobUntilAllDependenciesAreKnownToBeDone) {
    for (auto& c : cases) {
        for (bool backwards : {false, true}) {  // a new leader reads the jobs in any order
            SCOPED_TRACE(c.name);
            JobTable table(16);
            auto all = diamond;
            if (backwards) std::reverse(all.begin(), all.end());
            std::uint64_t version = 1;
            for (auto& s : all) table.put(s.id, version++, record(s));
            EXPECT_TRUE(table.dependencies().unresolved().empty());
            c.apply(table);
            std::set<std::string> may_start, cancelled;
            for (auto& [id, e] : table.entries()) {
                if (!e.is_blocked() && !e.cancelled) may_start.insert(id);
                if (e.cancelled) cancelled.insert(id);
            }
            EXPECT_EQ(may_start, c.may_start);
            EXPECT_EQ(cancelled, c.cancelled);
            EXPECT_EQ(table.dependencies().unresolved(), c.unresolved);
            // Dependents of a cancelled job stay blocked.
            for (auto& id : c.cancelled) {
                EXPECT_EQ(table.find(id)->is_blocked(), id != "a") << id;
            }
        }
    }
}
// Only the last job has a priority and a deadline; its dependencies inherit them, other jobs do not.
TEST(JobTable, PropagatesPriorityAndDueTimeToDependencies) {
    for (bool backwards : {false, true}) {
        JobTable table(16);
        auto all = diamond;
        if (backwards) std::reverse(all.begin(), all.end());
        std::uint64_t version = 1;
        for (auto& s : all) table.put(s.id, version++, record(s));
        for (auto id : {"a", "b1", "b2", "c", "d"}) EXPECT_EQ(table.find(id)->priority, Priority::high) << id;
        EXPECT_EQ(table.find("x")->priority, Priority::low);
        EXPECT_EQ(table.find("x")->due_at, JobEntry::no_deadline);
        EXPECT_EQ(table.find("d")->due_at, 190);
        EXPECT_EQ(table.find("c")->due_at, 180);
        EXPECT_EQ(table.find("b2")->due_at, 170);
        // Leaves time for all jobs in between, not only for the last one.
        EXPECT_EQ(table.find("a")->due_at, 160);
    }
}
// A job whose last dependency was done under a previous leader counts as ready since its submission, because
// this leader does not know when the dependency was done.
TEST(JobTable, SetsReadyTimeWhenLastDependencyIsSeenDone) {
    JobTable table(16);
    table.put("b", 2, record({"b", {"a", "a2"}}));
    table.apply_outcome("a", JobState::done, {});
    EXPECT_EQ(table.find("b")->ready_at, 100);
    table.put("a2", 1, record({"a2", {}}));
    table.erase("a2", 40);
    table.apply_outcome("a2", JobState::done, 150);
    EXPECT_EQ(table.find("b")->ready_at, 150);
    EXPECT_FALSE(table.find("b")->is_blocked());
}
// Guards against a stack overflow by recursion over chains of jobs that users submit, and against quadratic
// time.
TEST(JobTable, HandlesChainsAndJoinsOfThousandsOfJobs) {
    JobTable table(16);
    constexpr int n = 20000;
    auto id = [](int k) { return "j-" + std::to_string(k); };
    std::vector<std::string> all;
    for (int k = n - 1; k >= 0; --k) {
        table.put(id(k), 1, record({id(k), k ? std::vector{id(k - 1)} : std::vector<std::string>{}}));
        all.push_back(id(k));
    }
    table.put("j-last", 2, record({"j-last", all, Priority::high, 50}));
    EXPECT_EQ(table.find(id(0))->priority, Priority::high);
    table.cancel(id(0), 0);
    EXPECT_TRUE(table.find("j-last")->cancelled);
}

// Ends are sorted by age, not by name. The ends of cancelled jobs are listed separately, since no user waits
// for them.
TEST(JobTable, OrdersPendingWritesByAgeOfTheEnd) {
    JobTable table(16);
    for (auto* id : {"a", "b", "c", "d", "e"}) table.put(id, 5, record({id, {}}, 2));
    auto end = [&](const char* id, double at) {
        table.find(id)->mark_done(0);
        table.find(id)->mark_done(1);
        table.pending_writes(at, true);
    };
    end("c", 10);
    end("a", 11);
    end("b", 12);
    table.find("d")->mark_done(0);
    table.cancel("e", 0);
    table.find("c")->write_retry_at = 20;  // the store rejected its write once
    struct Case {
        const char* name;
        double now;
        bool may_remove_cancelled;
        std::vector<std::string> done, progress, cancelled;
    };
    const Case cases[] = {
        {"the write of the oldest end is in backoff", 13, true, {"a", "b"}, {"d"}, {"e"}},
        {"after its backoff the oldest is first again", 20, true, {"c", "a", "b"}, {"d"}, {"e"}},
        {"machines may hold tasks of cancelled jobs", 20, false, {"c", "a", "b"}, {"d"}, {}},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto pending = table.pending_writes(c.now, c.may_remove_cancelled);
        EXPECT_EQ(pending.done_jobs, c.done);
        EXPECT_EQ(pending.progress, c.progress);
        EXPECT_EQ(pending.cancelled_jobs, c.cancelled);
    }
    table.cancel("a", 0);  // the user cancels the job before its end is stored
    auto pending = table.pending_writes(20, true);
    EXPECT_EQ(pending.done_jobs, (std::vector<std::string>{"c", "b"}));
    EXPECT_EQ(pending.cancelled_jobs, (std::vector<std::string>{"a", "e"}));
    table.find("b")->write_in_flight = true;
    EXPECT_EQ(table.pending_writes(20, true).done_jobs, (std::vector<std::string>{"c"}));
}

}  // namespace
}  // namespace coralhitch::jobs
