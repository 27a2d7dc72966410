// Propagates the urgency of jobs, which is their priority and due time, to their dependencies. Users set both
// on the last job of a pipeline only.
#pragma once
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_entry.hpp"

namespace coralhitch::jobs {

// Raises the priority of a dependency to that of the job that depends on it, and moves the dependency's due
// time forward so that it leaves time for that job. Has no effect where the dependency is more urgent
// already.
void inherit_urgency(JobEntry& dependency, const JobEntry& dependent);

// Propagates the urgency of these jobs to all their direct and transitive dependencies in `jobs`. Ids that
// are not in `jobs` are ignored. All other jobs must have propagated theirs before.
//
// Each job passes its urgency on after all its dependents have, so that it does so once. When a job passed it
// on whenever it changed, it did so once for each path to it, and their number is exponential in the length
// of a pipeline. Returns the number of dependencies that were examined, at most three times for each
// dependency.
std::size_t propagate_urgency(std::map<std::string, JobEntry>& jobs, const std::vector<std::string>& changed);

}  // namespace coralhitch::jobs
