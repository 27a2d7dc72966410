#include "api/responses.hpp"

#include <algorithm>
#include <string>

#include "protocol/user_api.hpp"

namespace coralhitch::api {

namespace {
constexpr double min_retry_after_s = 1;
}  // namespace

http::Response retry_later() {
    return {503, protocol::error_body("try again"), "application/json", min_retry_after_s};
}

http::Response too_many_submissions(double retry_after_s) {
    return {503, protocol::error_body("too many submissions"), "application/json",
            std::max(min_retry_after_s, retry_after_s)};
}

http::Response no_such_job() {
    return {404, protocol::error_body("no such job")};
}

http::Response malformed_submission(std::string_view reason) {
    return {400, protocol::error_body(reason)};
}

http::Response invalid_submission(std::string_view reason) {
    return {422, protocol::error_body(reason)};
}

http::Response job_status(int http_status, const protocol::JobStatus& status) {
    return {http_status, protocol::job_status(status)};
}

http::Response cancelled_job(const std::string& id) {
    return job_status(200, {id, protocol::JobState::cancelled, {}, {}});
}

}  // namespace coralhitch::api
