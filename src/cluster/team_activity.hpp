// Counts of started, completed and stopped tasks per team, for the log.
#pragma once
#include <cstddef>
#include <map>
#include <string>

namespace coralhitch::cluster {

// Counts the tasks of each team since the last summary.
class TeamActivity {
  public:
    void started(const std::string& team) { ++teams_[team].started; }
    void completed(const std::string& team, std::size_t tasks) { teams_[team].completed += tasks; }
    // Counts a task that was preempted or lost with its machine.
    void stopped(const std::string& team) { ++teams_[team].stopped; }
    // Returns the counts as "a 5 started 4 done 0 stopped, b ...", or an empty string if there are none, and
    // resets them. bench/teams.py parses this format.
    [[nodiscard]] std::string take_summary();

  private:
    struct Counts {
        std::size_t started = 0, completed = 0, stopped = 0;
    };
    std::map<std::string, Counts> teams_;
};

}  // namespace coralhitch::cluster
