#include "scheduler/scheduler.hpp"

#include <algorithm>

#include "protocol/model.hpp"
#include "scheduler/gang_placer.hpp"
#include "scheduler/plan_state.hpp"
#include "scheduler/preemption.hpp"
#include "scheduler/task_placer.hpp"

namespace coralhitch::scheduler {

namespace {

// Makes one plan: places the waiting jobs in the order of their ranks.
class Planner {
  public:
    Planner(Input& input, const config::Settings& settings, std::mt19937_64& random)
        : plan_(input, settings, random),
          preemption_(plan_),
          tasks_(plan_, preemption_),
          gangs_(plan_, preemption_) {}

    // Makes two passes over the jobs of each rank. The first one places tasks only on machines that have
    // their image or are fetching it; the second one places the remaining tasks on any machine. In a single
    // pass, after the loss of many machines, half of all slots were busy fetching images: each slot that
    // became free went to the oldest job, whose image was on other machines. Service replicas and jobs that
    // have waited long are placed on any machine in the first pass.
    Decisions run() {
        auto order = plan_.order.waiting_jobs();
        for (auto first = order.begin(); first != order.end();) {
            int rank = plan_.order.rank(*first);
            auto last =
                std::find_if(first, order.end(), [&](auto job) { return plan_.order.rank(job) != rank; });
            for (auto image_requirement : {ImageRequirement::cached_or_being_fetched, ImageRequirement::none})
                for (auto job = first; job != last; ++job) place(*job, image_requirement);
            first = last;
        }
        return std::move(plan_.decisions);
    }

  private:
    void place(std::size_t job, ImageRequirement image_requirement) {
        auto& view = plan_.input.jobs[job];
        if (view.waiting_tasks.empty()) return;
        bool may_wait = plan_.order.may_wait_for_image(job);
        // A job that does not wait for its image could use any machine in the first pass already.
        if (image_requirement == ImageRequirement::none && !may_wait) return;
        if (!may_wait) image_requirement = ImageRequirement::none;
        if (view.spec->kind == protocol::JobKind::gang)
            gangs_.place(job, image_requirement);
        else
            tasks_.place(job, image_requirement);
    }

    PlanState plan_;
    Preemption preemption_;
    TaskPlacer tasks_;
    GangPlacer gangs_;
};

}  // namespace

Decisions plan(Input& input, const config::Settings& settings, std::mt19937_64& random) {
    return Planner(input, settings, random).run();
}

}  // namespace coralhitch::scheduler
