#include "cluster/team_activity.hpp"

#include <utility>

namespace coralhitch::cluster {

std::string TeamActivity::take_summary() {
    std::string text;
    for (auto& [name, counts] : std::exchange(teams_, {})) {
        if (!text.empty()) text += ", ";
        text += name + " " + std::to_string(counts.started) + " started " + std::to_string(counts.completed) +
                " done " + std::to_string(counts.stopped) + " stopped";
    }
    return text;
}

}  // namespace coralhitch::cluster
