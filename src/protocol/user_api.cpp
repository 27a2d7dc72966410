#include "protocol/user_api.hpp"

#include "protocol/job_json.hpp"
#include "protocol/json_fields.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

bool valid_job_id(std::string_view id) {
    if (!id.starts_with("j-") || id.size() < 3 || id.size() > max_job_id) return false;
    for (char c : id.substr(2))
        if (c < '0' || c > '9') return false;
    return true;
}
std::string submission(const Job& job) {
    return fields::dumped(job_json(job));
}
Job parse_job(std::string_view body) {
    return job_of(fields::parse_object(body));
}
std::optional<std::string> job_id_of(std::string_view body) {
    json j = json::parse(body, nullptr, false);
    if (!j.is_object()) return std::nullopt;
    auto* v = fields::find(j, "id");
    if (!v || !v->is_string() || !valid_job_id(v->get_ref<const std::string&>())) return std::nullopt;
    return v->get<std::string>();
}
std::string job_status(const JobStatus& s) {
    json j{{"id", s.id}, {"status", name_of(job_state_names, s.state)}};
    if (s.done) j["done"] = *s.done;
    if (s.running) j["running"] = *s.running;
    return fields::dumped(j);
}
bool names_dependencies(std::string_view body) {
    json j = json::parse(body, nullptr, false);
    return j.is_object() && has_dependencies(j);
}
std::string error_body(std::string_view text) {
    return fields::dumped(json{{"error", text}});
}

}  // namespace coralhitch::protocol
