// Messages between users and controllers: submissions, job states, errors.
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
inline constexpr std::string_view cancel = "/cancel";  // appended to the path of a job
inline constexpr std::string_view health = "/healthz";
inline constexpr std::string_view metrics = "/metrics";
}  // namespace paths

inline constexpr std::size_t max_job_id = 64;  // characters
// Returns whether a text has the form of a job id, such as j-000412.
bool valid_job_id(std::string_view id);
// Returns the body of a submission, which `parse_job` reads.
std::string submission(const Job& job);
// Parses a submission. Throws Malformed.
Job parse_job(std::string_view body);
// Returns the job id of a submission whose other fields may be malformed; nullopt if it has no valid id.
std::optional<std::string> job_id_of(std::string_view body);
// Returns whether a submission has the dependencies field, even if its list is empty. False for malformed
// JSON.
bool names_dependencies(std::string_view body);
// Returns the body of the answer to a query about a job.
std::string job_status(const JobStatus& status);
// Returns the body of an error response.
std::string error_body(std::string_view text);

}  // namespace coralhitch::protocol
