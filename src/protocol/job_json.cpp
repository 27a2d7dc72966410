#include "protocol/job_json.hpp"

#include <algorithm>

#include "protocol/json_fields.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
constexpr const char* dependencies_field = "awaits";
}  // namespace

json job_json(const Job& b) {
    json j{{"id", b.id},
           {"cohort", b.job_class},
           {"crew", b.team},
           {"shape", name_of(kind_names, b.kind)},
           {"rank", name_of(priority_names, b.priority)},
           {"shards", b.tasks},
           {"vcpus", b.request.cpus},
           {"cards", b.request.gpus},
           {"ram_gb", b.request.memory_gb},
           {"payload", b.image},
           {"image_gb", b.image_gb},
           {"together", b.one_zone},
           {"scatter", b.spread},
           {"driftwood", b.spot},
           {"reckon_s", b.estimated_run_s},
           {"anchor_s", b.checkpoint_interval_s},
           {"stow_s", b.checkpoint_save_s}};
    if (b.types) j["hulls"] = *b.types;
    if (b.zone) j["reef"] = *b.zone;
    if (b.deadline_s) j["tide_s"] = *b.deadline_s;
    if (!b.dependencies.empty()) j[dependencies_field] = b.dependencies;
    return j;
}

std::vector<std::string> dependencies_of(const json& j) {
    auto* v = fields::find(j, dependencies_field);
    if (!v) return {};
    auto names = fields::texts(*v, dependencies_field);
    for (auto& n : names)
        if (!valid_job_id(n)) bad(dependencies_field, "holds something that is not of the form j-000412");
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

Job job_of(const json& j) {
    Job b;
    b.id = fields::text(j, "id");
    if (!valid_job_id(b.id)) bad("id", "is not of the form j-000412");
    b.job_class = fields::text(j, "cohort");
    b.team = fields::text(j, "crew");
    b.kind = named(kind_names, fields::text(j, "shape"), "shape");
    b.priority = named(priority_names, fields::text(j, "rank"), "rank");
    auto tasks = fields::count(j, "shards");
    constexpr std::uint64_t max_tasks = 100000;
    if (tasks == 0 || tasks > max_tasks) bad("shards", "is out of range");
    b.tasks = static_cast<std::uint32_t>(tasks);
    b.request = {fields::amount(j, "vcpus"), fields::amount(j, "cards"), fields::amount(j, "ram_gb")};
    b.image = fields::text(j, "payload");
    b.image_gb = fields::amount(j, "image_gb");
    if (auto* v = fields::find(j, "hulls")) b.types = fields::texts(*v, "hulls");
    if (fields::find(j, "reef")) b.zone = fields::text(j, "reef");
    b.one_zone = fields::flag(j, "together");
    b.spread = fields::flag(j, "scatter");
    b.spot = fields::flag(j, "driftwood");
    b.estimated_run_s = fields::amount(j, "reckon_s");
    b.checkpoint_interval_s = fields::amount(j, "anchor_s");
    b.checkpoint_save_s = fields::amount(j, "stow_s");
    if (auto* v = fields::find(j, "tide_s")) b.deadline_s = fields::as_amount(*v, "tide_s");
    b.dependencies = dependencies_of(j);
    return b;
}
bool has_dependencies(const json& object) {
    return fields::find(object, dependencies_field) != nullptr;
}

}  // namespace coralhitch::protocol
