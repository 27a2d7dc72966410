// The HTTP responses of the users' interface.
#pragma once
#include <string_view>

#include "http/message.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// 503: not decided; the user is to repeat the request after a second.
http::Response retry_later();
// 503: more submissions than can be stored. The user is to repeat the request when there may be room, after
// at least a second.
http::Response too_many_submissions(double retry_after_s);
// 404
http::Response no_such_job();
// 400: the body is no job.
http::Response malformed_submission(std::string_view reason);
// 422: a job that can never run, or can't be stored.
http::Response invalid_submission(std::string_view reason);
// The state of a job.
http::Response job_status(int http_status, const protocol::JobStatus& status);
http::Response cancelled_job(const std::string& id);

}  // namespace coralhitch::api
