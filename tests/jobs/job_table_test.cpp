// The table of live jobs: what awaits what, and where progress is kept.
#include "jobs/job_table.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace coralhitch::jobs {
namespace {
using protocol::JobState;
using protocol::Priority;

struct Sketch {
    std::string id;
    std::vector<std::string> awaits;
    Priority priority = Priority::low;
    std::optional<double> deadline_s = {};
    bool cancelled = false;
};
protocol::JobRecord record(const Sketch& s, std::uint32_t tasks = 1) {
    protocol::JobRecord r;
    r.job.id = s.id;
    r.job.awaits = s.awaits;
    r.job.priority = s.priority;
    r.job.deadline_s = s.deadline_s;
    r.job.estimate_s = 10;
    r.job.tasks = tasks;
    r.submitted = 100;
    r.cancelled = s.cancelled;
    return r;
}
// a, then b1 and b2, then c; d needs a and c; x stands alone.
const std::vector<Sketch> diamond{{"a", {}},
                                  {"b1", {"a"}},
                                  {"b2", {"a"}},
                                  {"c", {"b1", "b2"}, Priority::normal},
                                  {"d", {"a", "c"}, Priority::high, 90},
                                  {"x", {}}};

struct Case {
    const char* name;
    std::function<void(JobTable&)> play;
    std::set<std::string> may_start, cancelled, unknown;
};
const Case cases[] = {
    {"as submitted", [](JobTable&) {}, {"a", "x"}, {}, {}},
    {"the first is done",
     [](JobTable& t) {
         t.erase("a", 50);
         t.ended("a", JobState::done, 130);
     },
     {"b1", "b2", "x"},
     {},
     {}},
    {"the first is gone, and nobody knows how: it may have been cancelled",
     [](JobTable& t) { t.erase("a", 50); },
     {"x"},
     {},
     {"a"}},
    {"one of two that a job awaits is done",
     [](JobTable& t) {
         t.erase("a", 50);
         t.ended("a", JobState::done, 130);
         t.erase("b1", 51);
         t.ended("b1", JobState::done, 131);
     },
     {"b2", "x"},
     {},
     {}},
    {"the first is cancelled by its user",
     [](JobTable& t) {
         t.put("a", 20, record({"a", {}, Priority::low, {}, true}));
     },
     {"x"},
     {"a", "b1", "b2", "c", "d"},
     {}},
    {"one in the middle is cancelled, as a controller says",
     [](JobTable& t) { t.cancel("b2", 0); },
     {"a", "x"},
     {"b2", "c", "d"},
     {}},
    {"the first was cancelled under an earlier leader",
     [](JobTable& t) {
         t.erase("a", 50);
         t.ended("a", JobState::cancelled, {});
     },
     {"x"},
     {"b1", "b2", "c", "d"},
     {}},
    {"a job that names a cancelled one comes later; a later copy of its record changes nothing",
     [](JobTable& t) {
         t.cancel("b2", 0);
         t.put("y", 30, record({"y", {"c"}}));
         t.put("y", 31, record({"y", {"c"}}));
     },
     {"a", "x"},
     {"b2", "c", "d", "y"},
     {}},
    {"those that awaited it are over: its end need not be known",
     [](JobTable& t) {
         t.erase("d", 60);
         t.erase("c", 61);
         t.erase("b1", 62);
     },
     {"a", "x"},
     {},
     {}},
};

TEST(Table, JobsStartOnlyWhenAllTheyAwaitAreKnownToBeDone) {
    for (auto& c : cases) {
        for (bool backwards : {false, true}) {  // a leader loads them in any order
            SCOPED_TRACE(c.name);
            JobTable t(16);
            auto all = diamond;
            if (backwards) std::reverse(all.begin(), all.end());
            std::uint64_t version = 1;
            for (auto& s : all) t.put(s.id, version++, record(s));
            EXPECT_TRUE(t.awaits().ends_unknown().empty());
            c.play(t);
            std::set<std::string> may_start, cancelled;
            for (auto& [id, e] : t.all()) {
                if (!e.awaiting() && !e.cancelled) may_start.insert(id);
                if (e.cancelled) cancelled.insert(id);
            }
            EXPECT_EQ(may_start, c.may_start);
            EXPECT_EQ(cancelled, c.cancelled);
            EXPECT_EQ(t.awaits().ends_unknown(), c.unknown);
            // What awaited a cancelled job awaits it for ever.
            for (auto& id : c.cancelled) {
                EXPECT_EQ(t.find(id)->awaiting(), id != "a") << id;
            }
        }
    }
}
// The last job carries priority and deadline; those it needs have as much of each, and no others.
TEST(Table, WhatAJobNeedsIsAsUrgentAsTheJob) {
    for (bool backwards : {false, true}) {
        JobTable t(16);
        auto all = diamond;
        if (backwards) std::reverse(all.begin(), all.end());
        std::uint64_t version = 1;
        for (auto& s : all) t.put(s.id, version++, record(s));
        for (auto id : {"a", "b1", "b2", "c", "d"}) EXPECT_EQ(t.find(id)->priority, Priority::high) << id;
        EXPECT_EQ(t.find("x")->priority, Priority::low);
        EXPECT_EQ(t.find("x")->due, JobEntry::never);
        EXPECT_EQ(t.find("d")->due, 190);
        EXPECT_EQ(t.find("c")->due, 180);
        EXPECT_EQ(t.find("b2")->due, 170);
        EXPECT_EQ(t.find("a")->due, 160);  // before the stages between, not just before the last
    }
}
// Age runs from the release that this leader saw; one that an earlier leader saw counts from the submission.
TEST(Table, AgeRunsFromTheReleaseThatWasSeen) {
    JobTable t(16);
    t.put("b", 2, record({"b", {"a", "a2"}}));
    t.ended("a", JobState::done, {});
    EXPECT_EQ(t.find("b")->ready, 100);
    t.put("a2", 1, record({"a2", {}}));
    t.erase("a2", 40);
    t.ended("a2", JobState::done, 150);
    EXPECT_EQ(t.find("b")->ready, 150);
    EXPECT_FALSE(t.find("b")->awaiting());
}
// No recursion over what users submit, no walk over all pairs.
TEST(Table, ChainsAndJoinsOfThousands) {
    JobTable t(16);
    constexpr int n = 20000;
    auto id = [](int k) { return "j-" + std::to_string(k); };
    std::vector<std::string> all;
    for (int k = n - 1; k >= 0; --k) {
        t.put(id(k), 1, record({id(k), k ? std::vector{id(k - 1)} : std::vector<std::string>{}}));
        all.push_back(id(k));
    }
    t.put("j-last", 2, record({"j-last", all, Priority::high, 50}));
    EXPECT_EQ(t.find(id(0))->priority, Priority::high);
    t.cancel(id(0), 0);
    EXPECT_TRUE(t.find("j-last")->cancelled);
}

// Every version counts tasks by the same blocks under the same keys, or the wrong tasks would be taken for
// done. What does not fit goes under names that the version before can't take for a number.
TEST(Progress, BlocksAreNamedSoThatNoVersionMisreadsThem) {
    struct Case {
        std::uint32_t tasks, task;
        std::size_t value_bytes;
        const char* block;
    };
    const Case cases[] = {
        {100, 99, 16384, "0"},
        {100000, 99999, 16384, "6"},
        {100, 99, 2048, "0"},
        {8000, 7999, 2048, "0"},
        {8100, 0, 2048, "from-0"},
        {100000, 99999, 2048, "from-98304"},
        {100000, 4096, 2048, "from-4096"},
        {100, 99, 16, "from-0"},
    };
    for (auto& c : cases) {
        JobTable t(16);
        t.put("j", 1, record({"j", {}}, c.tasks));
        auto& e = *t.find("j");
        EXPECT_EQ(t.block_of(e, c.task, c.value_bytes), c.block);
        for (std::uint32_t i = 0; i < c.tasks; i += 7) e.mark_done(i);
        // All that was done under any limit is found again, and nothing else.
        JobTable next(16);
        next.put("j", 1, record({"j", {}}, c.tasks));
        for (auto i : e.unstored) {
            auto limit = i % 2 ? c.value_bytes : 16384;
            auto block = t.block_of(e, i, limit);
            if (next.find("j")->blocks.contains(block)) continue;
            auto value = t.block_value(e, block, limit);
            EXPECT_LE(value.size(), std::max<std::size_t>(limit, 256));
            next.put_progress("j", block, protocol::parse_bits(value), 7);
        }
        EXPECT_EQ(next.find("j")->done, e.done);
        EXPECT_EQ(next.find("j")->done_count, e.done_count);
    }
    JobTable t(16);
    t.put("j", 1, record({"j", {}}, 9));
    for (auto name : {"", "x", "from-", "from-x", "1x", "-1", "0/1"})
        EXPECT_THROW(t.put_progress("j", name, {true}, 7), std::invalid_argument) << name;
    // As the version in production reads the name of a block.
    EXPECT_THROW((void)std::stoul("from-4096"), std::invalid_argument);
}

// What is stored first: ends by their age, not by name, and the cancelled ones apart, since no user waits for
// those.
TEST(Table, TellsWhatIsToBeStoredByAge) {
    JobTable t(16);
    for (auto* id : {"a", "b", "c", "d", "e"}) t.put(id, 5, record({id, {}}, 2));
    auto end = [&](const char* id, double at) {
        t.find(id)->mark_done(0);
        t.find(id)->mark_done(1);
        t.unstored(at, true);
    };
    end("c", 10);
    end("a", 11);
    end("b", 12);
    t.find("d")->mark_done(0);
    t.cancel("e", 0);
    t.find("c")->retry_at = 20;  // refused once
    struct Case {
        const char* name;
        double now;
        bool may_drop;
        std::vector<std::string> done, progress, cancelled;
    };
    const Case cases[] = {
        {"the oldest waits to be tried again", 13, true, {"a", "b"}, {"d"}, {"e"}},
        {"and keeps its place", 20, true, {"c", "a", "b"}, {"d"}, {"e"}},
        {"machines may hold tasks of cancelled jobs", 20, false, {"c", "a", "b"}, {"d"}, {}},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto got = t.unstored(c.now, c.may_drop);
        EXPECT_EQ(got.done, c.done);
        EXPECT_EQ(got.progress, c.progress);
        EXPECT_EQ(got.cancelled, c.cancelled);
    }
    t.cancel("a", 0);  // by its user, before its end is stored
    auto got = t.unstored(20, true);
    EXPECT_EQ(got.done, (std::vector<std::string>{"c", "b"}));
    EXPECT_EQ(got.cancelled, (std::vector<std::string>{"a", "e"}));
    t.find("b")->writing = true;
    EXPECT_EQ(t.unstored(20, true).done, (std::vector<std::string>{"c"}));
}

}  // namespace
}  // namespace coralhitch::jobs
