// How the progress of a job, one bit for each task that is done, is laid out in the key-value store.
//
// Progress is stored in blocks, one key each, four tasks to a character of the value. There are two kinds:
//
//   coarse  named by its number ("6"): block n covers the tasks [n * coarse, (n + 1) * coarse), where
//   `coarse`
//           follows from the configured limit of a value (`value_kb`).
//   fine    named by its first task ("from-4096"): used where a coarse block would exceed what may be written
//           at present; its size follows from that limit.
//
// This layout must never change. Every released version computes the range of a coarse block from its number
// in the same way, and during a rolling upgrade versions read each other's blocks: another size under the
// same keys would mark the wrong tasks done. The name of a fine block is no number, so versions that don't
// know fine blocks reject it and leave it alone.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coralhitch::jobs {

class ProgressLayout {
  public:
    // `value_kb`: the configured limit of a value, in KiB.
    explicit ProgressLayout(double value_kb);

    // Name of the block that holds a task of a job with `job_tasks` tasks, when a value may have
    // `value_bytes` bytes at present.
    [[nodiscard]] std::string block_of(std::size_t job_tasks, std::uint32_t task,
                                       std::size_t value_bytes) const;
    // First task of a block. Throws std::invalid_argument for a name that is not understood.
    [[nodiscard]] std::size_t first_task(const std::string& block) const;
    // The value to store for a block; `done` has one bit for each task of the job, `value_bytes` is the same
    // as for `block_of`. Throws as `first_task` does.
    [[nodiscard]] std::string encode(const std::vector<bool>& done, const std::string& block,
                                     std::size_t value_bytes) const;

  private:
    std::size_t coarse_block_tasks_;
};

}  // namespace coralhitch::jobs
