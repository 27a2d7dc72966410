// The layout of a job's progress in the key-value store. Progress is one bit for each task, set if the task
// is done.
//
// Progress is stored in blocks with one key each. Each character of the value holds four tasks. There are two
// kinds of blocks:
//
// - A coarse block is named by its number ("6"). Block n covers the tasks [n * size, (n + 1) * size), where
//   the size follows from the configured limit of a value (`value_kb`).
// - A fine block is named by its first task ("from-4096"). Fine blocks are used where a coarse block would
//   exceed the size of a value that may be written at present, and their size follows from that limit.
//
// This layout must never change. Every released version computes the range of a coarse block from its number
// in the same way, and during a rolling upgrade versions read each other's blocks, so a different size under
// the same keys would mark the wrong tasks as done. The name of a fine block is not a number, so versions
// that do not know fine blocks reject it and do not modify the block.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coralhitch::jobs {

// Maps tasks to progress blocks and encodes the blocks. Immutable.
class ProgressLayout {
  public:
    // `value_kb` is the configured size limit of a value, in KiB.
    explicit ProgressLayout(double value_kb);

    // Returns the name of the block that holds a task of a job with `job_tasks` tasks, if a value may have at
    // most `value_bytes` bytes at present.
    [[nodiscard]] std::string block_of(std::size_t job_tasks, std::uint32_t task,
                                       std::size_t value_bytes) const;
    // Returns the index of the first task of a block. Throws std::invalid_argument if the name is malformed.
    [[nodiscard]] std::size_t first_task(const std::string& block) const;
    // Returns the value to store for a block. `done` has one bit for each task of the job, and `value_bytes`
    // must be the limit that was passed to `block_of`. Throws std::invalid_argument if the name is malformed.
    [[nodiscard]] std::string encode(const std::vector<bool>& done, const std::string& block,
                                     std::size_t value_bytes) const;

  private:
    std::size_t coarse_block_tasks_;
};

}  // namespace coralhitch::jobs
