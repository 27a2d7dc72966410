#include "fleet/usage.hpp"

namespace coralhitch::fleet {

std::map<std::string, wire::Room> team_used(const Picture& picture, const std::vector<config::Team>& teams) {
    std::map<std::string, wire::Room> used;
    wire::Room unknown;
    std::unordered_map<const wire::Job*, wire::Room*> team;  // a job's team, without its name for each task
    for (auto& [id, m] : picture.machines()) {
        bool all_known = true;
        for (auto& [task, i] : m.tasks) {
            if (!i.spec) {
                all_known = false;
                continue;
            }
            auto& sum = team[i.spec.get()];
            if (!sum) sum = &used[i.spec->team];
            *sum += i.spec->need;
        }
        // Tasks of a job that was done, started twice by leaders that did not know it, outlive its record.
        // The next leader counted them for nobody, and filled the team's limit once more beside them. They
        // take no more than the machine has left.
        if (!all_known) unknown += m.free();
    }
    for (auto& t : teams) used[t.name] += unknown;
    return used;
}

std::string Tally::tell() {
    std::string text;
    for (auto& [name, t] : std::exchange(teams_, {})) {
        if (!text.empty()) text += ", ";
        text += name + " " + std::to_string(t.started) + " started " + std::to_string(t.done) + " done " +
                std::to_string(t.stopped) + " stopped";
    }
    return text;
}

}  // namespace coralhitch::fleet
