// A job of the generated load, and what its user knows of it.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "protocol/model.hpp"
#include "scale/workers/task_spec.hpp"

namespace coralhitch::scale {

struct GeneratedJob {
    protocol::Job job;
    TaskSpec spec;
    std::string phase, job_class;       // that its latencies count for
    double first_tried_at = 0;          // to submit it
    std::optional<double> all_done_at;  // when its last task ended
    bool accepted = false, over = false;
    bool to_be_cancelled = false, cancel_requested = false;
    std::set<std::uint32_t> tasks_begun;
};

}  // namespace coralhitch::scale
