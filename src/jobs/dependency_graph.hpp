// The dependencies between live jobs, as a directed graph: from a job to its dependencies (jobs that must be
// done before it may start) and back to its dependents.
//
// The graph holds edges only. Its owner keeps the jobs themselves and calls the graph whenever a job is
// added, removed or known to have ended. Not thread-safe: the owner's lock covers it.
#pragma once
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coralhitch::jobs {

class DependencyGraph {
  public:
    // Adds a live job with its unfinished dependencies. `is_live(id)` says whether a dependency is live as
    // well; the outcome of one that isn't is unknown until `resolve`.
    template <class Ids, class IsLive>
    void add(const std::string& id, const Ids& dependencies, IsLive is_live) {
        unresolved_.erase(id);
        for (auto& dependency : dependencies) {
            dependents_[dependency].insert(id);
            if (!is_live(dependency)) unresolved_.insert(dependency);
        }
    }
    // Removes the edges from a job to `dependencies`: it is no longer live, or is about to be added again
    // with other dependencies.
    template <class Ids>
    void remove(const std::string& id, const Ids& dependencies) {
        for (auto& dependency : dependencies) {
            auto found = dependents_.find(dependency);
            if (found == dependents_.end()) continue;
            found->second.erase(id);
            if (!found->second.empty()) continue;
            dependents_.erase(found);
            unresolved_.erase(dependency);
        }
    }
    // The job is no longer live. This does not say how it ended: if it has dependents, it is unresolved.
    void mark_unresolved(const std::string& id) {
        if (has_dependents(id)) unresolved_.insert(id);
    }
    // The outcome of the job is known: removes it and returns its direct dependents.
    std::set<std::string> resolve(const std::string& id) {
        unresolved_.erase(id);
        auto found = dependents_.find(id);
        if (found == dependents_.end()) return {};
        auto dependents = std::move(found->second);
        dependents_.erase(found);
        return dependents;
    }
    [[nodiscard]] bool has_dependents(const std::string& id) const { return dependents_.contains(id); }
    // Dependencies that are not live and whose outcome is unknown: only their final records can say it.
    [[nodiscard]] const std::set<std::string>& unresolved() const { return unresolved_; }
    [[nodiscard]] const std::set<std::string>& direct_dependents(const std::string& id) const {
        static const std::set<std::string> none;
        auto found = dependents_.find(id);
        return found == dependents_.end() ? none : found->second;
    }
    // Visits direct and transitive dependents of a job. `visit(id)` returns whether the dependents of `id`
    // are to be visited as well; it must return false for a job visited before, or diamonds cost exponential
    // time. Iterative, since users may submit chains of any length, which recursion would answer with a
    // stack overflow.
    template <class Visit>
    void visit_dependents(const std::string& id, Visit visit) const {
        std::vector<std::string> stack{id};
        while (!stack.empty()) {
            auto& dependents = direct_dependents(std::exchange(stack.back(), {}));
            stack.pop_back();
            for (auto& dependent : dependents)
                if (visit(dependent)) stack.push_back(dependent);
        }
    }
    void clear() { *this = {}; }

  private:
    std::unordered_map<std::string, std::set<std::string>> dependents_;  // by dependency
    std::set<std::string> unresolved_;
};

}  // namespace coralhitch::jobs
