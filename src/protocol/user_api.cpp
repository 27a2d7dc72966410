#include "protocol/user_api.hpp"

#include <algorithm>

#include "protocol/job_json.hpp"
#include "protocol/json_fields.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

bool valid_job_id(std::string_view id) {
    if (!id.starts_with("j-") || id.size() < 3 || id.size() > max_job_id) return false;
    return std::all_of(id.begin() + 2, id.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}
std::string submission(const Job& job) {
    return fields::to_json_text(job_json(job));
}
Job parse_job(std::string_view body) {
    return parse_job_object(fields::parse_object(body));
}
std::optional<std::string> job_id_of(std::string_view body) {
    json object = json::parse(body, nullptr, false);
    if (!object.is_object()) return std::nullopt;
    auto* id = fields::find(object, "id");
    if (!id || !id->is_string() || !valid_job_id(id->get_ref<const std::string&>())) return std::nullopt;
    return id->get<std::string>();
}
std::string job_status(const JobStatus& status) {
    json object{{"id", status.id}, {"status", name_of(job_state_names, status.state)}};
    if (status.done) object["done"] = *status.done;
    if (status.running) object["running"] = *status.running;
    return fields::to_json_text(object);
}
bool names_dependencies(std::string_view body) {
    json object = json::parse(body, nullptr, false);
    return object.is_object() && has_dependencies(object);
}
std::string error_body(std::string_view text) {
    return fields::to_json_text(json{{"error", text}});
}

}  // namespace coralhitch::protocol
