#include "jobs/urgency_propagation.hpp"

#include <algorithm>
#include <unordered_map>

namespace coralhitch::jobs {

namespace {

// Returns the time by which the dependencies of the job must be done so that the job meets its due time.
double dependencies_due_at(const JobEntry& job) {
    return job.due_at - job.spec->estimated_run_s;
}

bool is_more_urgent(const JobEntry& dependent, const JobEntry& dependency) {
    return dependent.priority > dependency.priority || dependencies_due_at(dependent) < dependency.due_at;
}

// The changed jobs that affect a dependency, with all their direct and transitive dependencies.
class AffectedJobs {
  public:
    explicit AffectedJobs(std::map<std::string, JobEntry>& jobs) : jobs_(jobs) {}

    // Adds the job with all its dependencies, unless its urgency affects none of the direct ones.
    void add_changed(const std::string& id) {
        auto* job = find(id);
        if (!job || !affects_dependency(*job)) return;
        auto next = nodes_.size();
        node_of(*job);
        for (; next < nodes_.size(); ++next) add_dependencies(next);
    }

    // Visits the jobs in an order in which each one follows all its dependents. Jobs on a cycle are not
    // visited; the key-value store can't contain one, because a job is stored after its dependencies.
    void propagate() {
        std::vector<std::size_t> ready;
        for (std::size_t node = 0; node < nodes_.size(); ++node)
            if (nodes_[node].unvisited_dependents == 0) ready.push_back(node);
        while (!ready.empty()) {
            auto& node = nodes_[ready.back()];
            ready.pop_back();
            for (auto dependency : node.dependencies) {
                ++steps_;
                inherit_urgency(*nodes_[dependency].job, *node.job);
                if (--nodes_[dependency].unvisited_dependents == 0) ready.push_back(dependency);
            }
        }
    }

    [[nodiscard]] std::size_t steps() const { return steps_; }

  private:
    struct Node {
        JobEntry* job;
        std::vector<std::size_t> dependencies;  // indexes in nodes_
        std::size_t unvisited_dependents = 0;   // only dependents in nodes_
    };

    JobEntry* find(const std::string& id) {
        auto found = jobs_.find(id);
        return found == jobs_.end() ? nullptr : &found->second;
    }

    bool affects_dependency(const JobEntry& job) {
        return std::any_of(job.unfinished_dependencies.begin(), job.unfinished_dependencies.end(),
                           [&](auto& id) {
                               ++steps_;
                               auto* dependency = find(id);
                               return dependency && is_more_urgent(job, *dependency);
                           });
    }

    std::size_t node_of(JobEntry& job) {
        auto [position, inserted] = node_by_job_.try_emplace(&job, nodes_.size());
        if (inserted) nodes_.push_back({&job, {}});
        return position->second;
    }

    void add_dependencies(std::size_t node) {
        for (auto& id : nodes_[node].job->unfinished_dependencies) {
            ++steps_;
            auto* job = find(id);
            if (!job) continue;
            auto dependency = node_of(*job);
            nodes_[node].dependencies.push_back(dependency);
            ++nodes_[dependency].unvisited_dependents;
        }
    }

    std::map<std::string, JobEntry>& jobs_;
    std::vector<Node> nodes_;
    std::unordered_map<const JobEntry*, std::size_t> node_by_job_;
    std::size_t steps_ = 0;
};

}  // namespace

void inherit_urgency(JobEntry& dependency, const JobEntry& dependent) {
    dependency.priority = std::max(dependency.priority, dependent.priority);
    dependency.due_at = std::min(dependency.due_at, dependencies_due_at(dependent));
}

std::size_t propagate_urgency(std::map<std::string, JobEntry>& jobs,
                              const std::vector<std::string>& changed) {
    AffectedJobs affected(jobs);
    for (auto& id : changed) affected.add_changed(id);
    affected.propagate();
    return affected.steps();
}

}  // namespace coralhitch::jobs
