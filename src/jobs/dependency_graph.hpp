// Which live jobs await which others. Who holds the jobs keeps to it when jobs come, go and end.
#pragma once
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coralhitch::jobs {

class DependencyGraph {
  public:
    // A job that is live from now on; `live` says whether an awaited one is, too.
    template <class Names, class F>
    void add(const std::string& id, const Names& awaits, F live) {
        ends_unknown_.erase(id);
        for (auto& a : awaits) {
            behind_[a].insert(id);
            if (!live(a)) ends_unknown_.insert(a);
        }
    }
    // The job is live no longer, or awaits others than it did.
    template <class Names>
    void remove(const std::string& id, const Names& awaits) {
        for (auto& a : awaits) {
            auto it = behind_.find(a);
            if (it == behind_.end()) continue;
            it->second.erase(id);
            if (!it->second.empty()) continue;
            behind_.erase(it);
            ends_unknown_.erase(a);
        }
    }
    // That a job is gone does not say how it ended.
    void gone(const std::string& id) {
        if (awaited(id)) ends_unknown_.insert(id);
    }
    // How it ended is known: those that awaited it.
    std::set<std::string> ended(const std::string& id) {
        ends_unknown_.erase(id);
        auto it = behind_.find(id);
        if (it == behind_.end()) return {};
        auto ids = std::move(it->second);
        behind_.erase(it);
        return ids;
    }
    bool awaited(const std::string& id) const { return behind_.contains(id); }
    // Awaited jobs that are not live, so that only their final state can say whether they were done.
    const std::set<std::string>& ends_unknown() const { return ends_unknown_; }
    const std::set<std::string>& right_behind(const std::string& id) const {
        static const std::set<std::string> none;
        auto it = behind_.find(id);
        return it == behind_.end() ? none : it->second;
    }
    // Visits what is behind a job, however far, as long as `visit` says that it is new. Without recursion:
    // users may submit chains of any length.
    template <class F>
    void each_behind(const std::string& id, F visit) const {
        std::vector<std::string> todo{id};
        while (!todo.empty()) {
            auto& next = right_behind(std::exchange(todo.back(), {}));
            todo.pop_back();
            for (auto& y : next)
                if (visit(y)) todo.push_back(y);
        }
    }
    void clear() { *this = {}; }

  private:
    std::unordered_map<std::string, std::set<std::string>> behind_;  // by awaited job
    std::set<std::string> ends_unknown_;
};

}  // namespace coralhitch::jobs
