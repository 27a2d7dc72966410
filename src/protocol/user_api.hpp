// What users send and receive: submissions, job states, errors.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/malformed.hpp"
#include "protocol/model.hpp"

namespace coralhitch::protocol {

namespace paths {
inline constexpr std::string_view jobs = "/api/jobs";
inline constexpr std::string_view cancel = "/cancel";  // after the path of a job
inline constexpr std::string_view health = "/healthz";
inline constexpr std::string_view metrics = "/metrics";
}  // namespace paths

inline constexpr std::size_t max_job_id = 64;  // characters
// Whether it has the form of a job's id: j-000412.
bool valid_job_id(std::string_view id);
// The body of a submission, as `parse_job` reads it.
std::string submission(const Job& job);
// Throws Malformed.
Job parse_job(std::string_view body);
// The id in a body that may be malformed otherwise.
std::optional<std::string> job_id_of(std::string_view body);
// Whether a submission names jobs that it depends on.
bool names_dependencies(std::string_view body);
// The body of an answer about a job.
std::string job_status(const JobStatus& status);
// The body of every refusal.
std::string error_body(std::string_view text);

}  // namespace coralhitch::protocol
