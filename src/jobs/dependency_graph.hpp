// The dependency graph of live jobs.
#pragma once
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coralhitch::jobs {

// Directed graph of the dependencies between live jobs: from a job to its dependencies (jobs that must be
// done before it may start) and back to its dependents.
//
// The graph holds edges only. Its owner keeps the jobs themselves and updates the graph whenever a job is
// added or removed, or its outcome becomes known. Not thread-safe: the owner's lock covers it.
class DependencyGraph {
  public:
    // Adds a live job with its unfinished dependencies. `is_live(id)` returns whether a dependency is live. A
    // dependency that is not live is unresolved until `resolve` is called for it.
    template <class Ids, class IsLive>
    void add(const std::string& id, const Ids& dependencies, IsLive is_live) {
        unresolved_.erase(id);
        for (auto& dependency : dependencies) {
            dependents_[dependency].insert(id);
            if (!is_live(dependency)) unresolved_.insert(dependency);
        }
    }
    // Removes the edges from a job to `dependencies`. To be called when the job is no longer live, or before
    // it is added again with other dependencies.
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
    // Records that a job is no longer live but that its outcome is unknown. It becomes unresolved if it has
    // dependents.
    void mark_unresolved(const std::string& id) {
        if (has_dependents(id)) unresolved_.insert(id);
    }
    // Records that the outcome of a job is known. Removes the edges from its dependents to it, and returns
    // these direct dependents.
    std::set<std::string> resolve(const std::string& id) {
        unresolved_.erase(id);
        auto found = dependents_.find(id);
        if (found == dependents_.end()) return {};
        auto dependents = std::move(found->second);
        dependents_.erase(found);
        return dependents;
    }
    [[nodiscard]] bool has_dependents(const std::string& id) const { return dependents_.contains(id); }
    // Returns the dependencies that are not live and whose outcome is unknown. Only their final records in
    // the key-value store tell the outcome.
    [[nodiscard]] const std::set<std::string>& unresolved() const { return unresolved_; }
    [[nodiscard]] const std::set<std::string>& direct_dependents(const std::string& id) const {
        static const std::set<std::string> none;
        auto found = dependents_.find(id);
        return found == dependents_.end() ? none : found->second;
    }
    // Visits the direct and transitive dependents of a job. `visit(id)` returns whether to visit the
    // dependents of `id` as well. It must return false for a job visited before, because otherwise
    // diamond-shaped graphs take exponential time. The traversal is iterative, because users may submit
    // chains of any length, for which recursion would overflow the stack.
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
