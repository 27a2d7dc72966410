// The JSON form of a job's description, used in submissions and in the stored records of live jobs. Internal
// to this package.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::protocol {

// Returns the JSON form of a job.
nlohmann::json job_json(const Job& job);
// Parses a job. Throws Malformed.
Job parse_job_object(const nlohmann::json& object);
// Returns the ids of the jobs that the job depends on, sorted and without duplicates. Throws Malformed.
std::vector<std::string> dependencies_of(const nlohmann::json& object);
// Returns whether the dependencies field is present, even if its list is empty.
bool has_dependencies(const nlohmann::json& object);

}  // namespace coralhitch::protocol
