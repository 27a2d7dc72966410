#include "protocol/job_json.hpp"

#include <algorithm>

#include "protocol/json_fields.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
constexpr const char* dependencies_field = "awaits";
}  // namespace

json job_json(const Job& job) {
    json object{{"id", job.id},
                {"cohort", job.job_class},
                {"crew", job.team},
                {"shape", name_of(kind_names, job.kind)},
                {"rank", name_of(priority_names, job.priority)},
                {"shards", job.tasks},
                {"vcpus", job.request.cpus},
                {"cards", job.request.gpus},
                {"ram_gb", job.request.memory_gb},
                {"payload", job.image},
                {"image_gb", job.image_gb},
                {"together", job.one_zone},
                {"scatter", job.spread},
                {"driftwood", job.spot},
                {"reckon_s", job.estimated_run_s},
                {"anchor_s", job.checkpoint_interval_s},
                {"stow_s", job.checkpoint_save_s}};
    if (job.types) object["hulls"] = *job.types;
    if (job.zone) object["reef"] = *job.zone;
    if (job.deadline_s) object["tide_s"] = *job.deadline_s;
    if (!job.dependencies.empty()) object[dependencies_field] = job.dependencies;
    return object;
}

std::vector<std::string> dependencies_of(const json& object) {
    auto* list = fields::find(object, dependencies_field);
    if (!list) return {};
    auto ids = fields::texts(*list, dependencies_field);
    for (auto& id : ids)
        if (!valid_job_id(id))
            throw_malformed(dependencies_field, "holds something that is not of the form j-000412");
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

Job parse_job_object(const json& object) {
    Job job;
    job.id = fields::text(object, "id");
    if (!valid_job_id(job.id)) throw_malformed("id", "is not of the form j-000412");
    job.job_class = fields::text(object, "cohort");
    job.team = fields::text(object, "crew");
    job.kind = named(kind_names, fields::text(object, "shape"), "shape");
    job.priority = named(priority_names, fields::text(object, "rank"), "rank");
    auto tasks = fields::count(object, "shards");
    constexpr std::uint64_t max_tasks = 100000;
    if (tasks == 0 || tasks > max_tasks) throw_malformed("shards", "is out of range");
    job.tasks = static_cast<std::uint32_t>(tasks);
    job.request = {fields::amount(object, "vcpus"), fields::amount(object, "cards"),
                   fields::amount(object, "ram_gb")};
    job.image = fields::text(object, "payload");
    job.image_gb = fields::amount(object, "image_gb");
    if (auto* types = fields::find(object, "hulls")) job.types = fields::texts(*types, "hulls");
    if (fields::find(object, "reef")) job.zone = fields::text(object, "reef");
    job.one_zone = fields::flag(object, "together");
    job.spread = fields::flag(object, "scatter");
    job.spot = fields::flag(object, "driftwood");
    job.estimated_run_s = fields::amount(object, "reckon_s");
    job.checkpoint_interval_s = fields::amount(object, "anchor_s");
    job.checkpoint_save_s = fields::amount(object, "stow_s");
    if (auto* deadline = fields::find(object, "tide_s"))
        job.deadline_s = fields::as_amount(*deadline, "tide_s");
    job.dependencies = dependencies_of(object);
    return job;
}
bool has_dependencies(const json& object) {
    return fields::find(object, dependencies_field) != nullptr;
}

}  // namespace coralhitch::protocol
