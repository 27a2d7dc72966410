#include "api/submission_check.hpp"

#include <algorithm>

#include "scheduler/scheduler.hpp"

namespace coralhitch::api {

namespace {
bool fits_type(const protocol::Job& job, const protocol::MachineType& type) {
    return type.capacity.fits(job.request) &&
           std::any_of(type.zones.begin(), type.zones.end(),
                       [&](auto& zone) { return scheduler::type_allowed(job, type.name, zone, false); });
}
}  // namespace

SubmissionCheck check_submission(const protocol::Job& job, const std::vector<protocol::MachineType>& types,
                                 const config::Settings& settings) {
    auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                             [&](auto& candidate) { return candidate.name == job.team; });
    if (team == settings.teams.end()) return SubmissionCheck::unknown_team;
    if (std::none_of(types.begin(), types.end(), [&](auto& type) { return fits_type(job, type); }))
        return SubmissionCheck::no_fitting_machine_type;
    // The tasks of an array may run one by one. All tasks of a gang or a service run at the same time.
    double concurrent = job.kind == protocol::JobKind::array ? 1 : static_cast<double>(job.tasks);
    if (!scheduler::team_allows(*team, {}, job.request.times(concurrent)))
        return SubmissionCheck::exceeds_team_limit;
    return SubmissionCheck::runnable;
}

std::string_view reason_of(SubmissionCheck check) {
    switch (check) {
        case SubmissionCheck::unknown_team:
            return "unknown team";
        case SubmissionCheck::no_fitting_machine_type:
            return "a task fits no allowed machine type";
        case SubmissionCheck::exceeds_team_limit:
            return "more than the team's limit";
        case SubmissionCheck::runnable:
            break;
    }
    return {};
}

std::size_t max_dependencies(std::size_t txn_ops) {
    constexpr std::size_t conditions_per_op = 4, own_conditions = 2;
    return txn_ops * conditions_per_op - own_conditions;
}

void normalize_allowed_types(protocol::Job& job, const std::vector<protocol::MachineType>& types) {
    if (!job.types) return;
    std::sort(job.types->begin(), job.types->end());
    job.types->erase(std::unique(job.types->begin(), job.types->end()), job.types->end());
    std::erase_if(*job.types, [&](auto& name) {
        return std::none_of(types.begin(), types.end(), [&](auto& type) { return type.name == name; });
    });
}

}  // namespace coralhitch::api
