// A job of the generated load, and its state as its user knows it.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "protocol/model.hpp"
#include "scale/workers/task_spec.hpp"

namespace coralhitch::scale {

// Times are those of the event loop of the load process.
struct GeneratedJob {
    protocol::Job job;
    TaskSpec spec;
    std::string phase, job_class;       // labels under which its latencies are recorded
    double first_attempt_at = 0;        // time of the first attempt to submit it
    std::optional<double> all_done_at;  // time at which its last task ended
    bool accepted = false, over = false;
    bool to_be_cancelled = false, cancel_requested = false;
    std::set<std::uint32_t> tasks_begun;
};

}  // namespace coralhitch::scale
