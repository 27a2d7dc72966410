// Tests of JobEntry: which tasks are pending, and which are to be stored as done.
#include "jobs/job_entry.hpp"

#include <gtest/gtest.h>

namespace coralhitch::jobs {
namespace {
using Tasks = std::vector<std::uint32_t>;

TEST(JobEntry, PendingTasksAreNeitherDoneNorActive) {
    JobEntry job;
    job.done.resize(5);
    job.mark_done(0);
    job.active[2] = {"vm-1", protocol::AttemptNumber{1}, 0};
    EXPECT_EQ(job.pending_tasks(10), (Tasks{1, 3, 4}));
    EXPECT_EQ(job.pending_tasks(2), (Tasks{1, 3}));
    EXPECT_EQ(job.unfinished_count(), 4u);
    EXPECT_TRUE(job.has_pending_tasks());
    for (std::uint32_t task : {1u, 3u, 4u}) job.mark_done(task);
    EXPECT_TRUE(job.pending_tasks(10).empty());
    EXPECT_FALSE(job.has_pending_tasks());
}

// Guards against a miscount of pending tasks: a task that is done may still have an active instance, which
// must not be counted in place of a pending task.
TEST(JobEntry, FindsPendingTaskWhenADoneOneIsActive) {
    JobEntry job;
    job.done.resize(2);
    job.mark_done(0);
    job.active[0] = {"vm-1", protocol::AttemptNumber{1}, 0};
    EXPECT_TRUE(job.has_pending_tasks());
    EXPECT_EQ(job.pending_tasks(10), Tasks{1});
}

TEST(JobEntry, MarkedTasksAreToBeStoredAndRestoredOnesAreNot) {
    JobEntry job;
    job.done.resize(2);
    EXPECT_TRUE(job.restore_done(0));
    EXPECT_FALSE(job.mark_done(0));
    EXPECT_TRUE(job.mark_done(1));
    EXPECT_FALSE(job.restore_done(2));  // no such task
    EXPECT_EQ(job.unstored_tasks, std::set<std::uint32_t>{1});
    EXPECT_TRUE(job.all_done());
}

TEST(JobEntry, IsCrashLoopingAfterMoreFailuresThanTheThreshold) {
    JobEntry job;
    job.consecutive_failures = JobEntry::crash_loop_threshold;
    EXPECT_FALSE(job.is_crash_looping());
    ++job.consecutive_failures;
    EXPECT_TRUE(job.is_crash_looping());
}

}  // namespace
}  // namespace coralhitch::jobs
