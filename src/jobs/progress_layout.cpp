#include "jobs/progress_layout.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <string_view>

#include "protocol/records.hpp"

namespace coralhitch::jobs {

namespace {
constexpr std::string_view fine_prefix = "from-";
constexpr std::size_t tasks_per_character = 4;
constexpr std::size_t value_overhead_bytes = 32;  // size of a stored value in addition to its characters
constexpr std::size_t min_coarse_block_tasks = 64, min_fine_block_tasks = 256;

bool is_fine(const std::string& block) {
    return block.starts_with(fine_prefix);
}

// Returns the number of tasks in a fine block. It is a power of two, so that the blocks under a lower limit
// divide those under a higher one.
std::size_t fine_block_tasks(std::size_t value_bytes) {
    std::size_t tasks = min_fine_block_tasks;
    while (tasks * 2 / tasks_per_character + value_overhead_bytes <= value_bytes) tasks *= 2;
    return tasks;
}
}  // namespace

ProgressLayout::ProgressLayout(double value_kb)
    : coarse_block_tasks_(std::max(min_coarse_block_tasks, static_cast<std::size_t>(value_kb * 1024))) {}

std::string ProgressLayout::block_of(std::size_t job_tasks, std::uint32_t task,
                                     std::size_t value_bytes) const {
    auto largest = std::min(coarse_block_tasks_, job_tasks);
    if (largest / tasks_per_character + value_overhead_bytes <= value_bytes)
        return std::to_string(task / coarse_block_tasks_);
    auto fine = fine_block_tasks(value_bytes);
    return std::string(fine_prefix) + std::to_string(task / fine * fine);
}

std::size_t ProgressLayout::first_task(const std::string& block) const {
    std::size_t number = 0;
    auto* begin = block.data() + (is_fine(block) ? fine_prefix.size() : 0);
    auto* end = block.data() + block.size();
    auto [parsed_to, error] = std::from_chars(begin, end, number);
    if (error != std::errc() || parsed_to != end)
        throw std::invalid_argument("unknown progress block '" + block + "'");
    return is_fine(block) ? number : number * coarse_block_tasks_;
}

std::string ProgressLayout::encode(const std::vector<bool>& done, const std::string& block,
                                   std::size_t value_bytes) const {
    auto first = first_task(block);
    auto count = is_fine(block) ? fine_block_tasks(value_bytes) : coarse_block_tasks_;
    auto last = std::min(first + count, done.size());
    return protocol::stored_bits({done.begin() + static_cast<std::ptrdiff_t>(first),
                                  done.begin() + static_cast<std::ptrdiff_t>(last)});
}

}  // namespace coralhitch::jobs
