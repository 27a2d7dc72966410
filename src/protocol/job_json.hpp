// The JSON form of a job's description: as users submit it, and in the records of live jobs. For the sources
// of this package only.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::protocol {

nlohmann::json job_json(const Job& job);
// Throws Malformed.
Job job_of(const nlohmann::json& object);
// The jobs that it depends on, in order, each once; throws Malformed.
std::vector<std::string> dependencies_of(const nlohmann::json& object);
// Whether it names any.
bool has_dependencies(const nlohmann::json& object);

}  // namespace coralhitch::protocol
