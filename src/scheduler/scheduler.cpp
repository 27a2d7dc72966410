#include "scheduler/scheduler.hpp"

#include <algorithm>

#include "protocol/model.hpp"
#include "scheduler/gang_placer.hpp"
#include "scheduler/plan_state.hpp"
#include "scheduler/preemption.hpp"
#include "scheduler/task_placer.hpp"

namespace coralhitch::scheduler {

namespace {

class Planner {
  public:
    Planner(Input& in, const config::Settings& settings, std::mt19937_64& random)
        : plan_(in, settings, random),
          preemption_(plan_),
          tasks_(plan_, preemption_),
          gangs_(plan_, preemption_) {}

    // Among jobs of one rank, those go first whose image is at the places that are free. After a loss of many
    // machines half of all places were fetching: each that came free went to the oldest job, whose image was
    // elsewhere. Replicas don't wait for that, nor does a job that has waited long.
    Decisions run() {
        auto order = plan_.order.waiting_jobs();
        for (auto first = order.begin(); first != order.end();) {
            int rank = plan_.order.rank(*first);
            auto last =
                std::find_if(first, order.end(), [&](auto job) { return plan_.order.rank(job) != rank; });
            for (bool near_only : {true, false})
                for (auto job = first; job != last; ++job) place(*job, near_only);
            first = last;
        }
        return std::move(plan_.decisions);
    }

  private:
    void place(std::size_t job, bool near_only) {
        auto& view = plan_.in.jobs[job];
        if (view.waiting.empty()) return;
        bool patient = plan_.order.patient(job);
        if (!near_only && !patient) return;  // was tried whole the first time
        if (view.spec->kind == protocol::JobKind::gang)
            gangs_.place(job, near_only && patient);
        else
            tasks_.place(job, near_only && patient);
    }

    PlanState plan_;
    Preemption preemption_;
    TaskPlacer tasks_;
    GangPlacer gangs_;
};

}  // namespace

Decisions plan(Input& in, const config::Settings& settings, std::mt19937_64& random) {
    return Planner(in, settings, random).run();
}

}  // namespace coralhitch::scheduler
