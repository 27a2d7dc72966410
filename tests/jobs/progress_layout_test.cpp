// Tests of ProgressLayout, through the job table that uses it.
#include "jobs/progress_layout.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

#include "jobs/job_table.hpp"
#include "protocol/model.hpp"
#include "protocol/records.hpp"

namespace coralhitch::jobs {
namespace {

protocol::JobRecord record(std::uint32_t tasks) {
    protocol::JobRecord r;
    r.job.id = "j";
    r.job.priority = protocol::Priority::low;
    r.job.estimated_run_s = 10;
    r.job.tasks = tasks;
    r.submitted = 100;
    return r;
}

// Guards against marking the wrong tasks as done, which happens if two versions compute different ranges for
// the same key. Blocks of another size have names that previous versions can't parse as a number.
TEST(ProgressLayout, NamesBlocksSoThatNoVersionMisreadsThem) {
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
        JobTable table(16);
        table.put("j", 1, record(c.tasks));
        auto& e = *table.find("j");
        EXPECT_EQ(table.progress_layout().block_of(e.done.size(), c.task, c.value_bytes), c.block);
        for (std::uint32_t i = 0; i < c.tasks; i += 7) e.mark_done(i);
        // Tasks stored under either limit are restored, and no others.
        JobTable next(16);
        next.put("j", 1, record(c.tasks));
        for (auto i : e.unstored_tasks) {
            auto limit = i % 2 ? c.value_bytes : 16384;
            auto block = table.progress_layout().block_of(e.done.size(), i, limit);
            if (next.find("j")->block_versions.contains(block)) continue;
            auto value = table.progress_layout().encode(e.done, block, limit);
            EXPECT_LE(value.size(), std::max<std::size_t>(limit, 256));
            next.put_progress("j", block, protocol::parse_bits(value), 7);
        }
        EXPECT_EQ(next.find("j")->done, e.done);
        EXPECT_EQ(next.find("j")->done_count, e.done_count);
    }
    JobTable table(16);
    table.put("j", 1, record(9));
    for (auto name : {"", "x", "from-", "from-x", "1x", "-1", "0/1"})
        EXPECT_THROW(table.put_progress("j", name, {true}, 7), std::invalid_argument) << name;
    // Versions that do not know fine blocks parse the name of a block with std::stoul.
    EXPECT_THROW((void)std::stoul("from-4096"), std::invalid_argument);
}

}  // namespace
}  // namespace coralhitch::jobs
