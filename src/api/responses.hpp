// HTTP responses of the user API.
#pragma once
#include <string_view>

#include "http/message.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// Returns 503 for a request that can't be answered now, or whose outcome is not known. The user retries after
// one second.
http::Response retry_later();
// Returns 503 for a submission beyond the admitted rate. The user retries after `retry_after_s` seconds, and
// after one second at the earliest.
http::Response too_many_submissions(double retry_after_s);
// Returns 404.
http::Response no_such_job();
// Returns 400 for a body that can't be parsed as a job.
http::Response malformed_submission(std::string_view reason);
// Returns 422 for a job that can never run or can't be stored.
http::Response invalid_submission(std::string_view reason);
// Returns the state of a job, with the given HTTP status.
http::Response job_status(int http_status, const protocol::JobStatus& status);
// Returns 200 with the state of a cancelled job, without task counts.
http::Response cancelled_job(const std::string& id);

}  // namespace coralhitch::api
