// What became of the teams' tasks since the last summary, for the log.
#pragma once
#include <cstddef>
#include <map>
#include <string>

namespace coralhitch::cluster {

class TeamActivity {
  public:
    void started(const std::string& team) { ++teams_[team].started; }
    void completed(const std::string& team, std::size_t tasks) { teams_[team].completed += tasks; }
    // Preempted, or lost with a machine.
    void stopped(const std::string& team) { ++teams_[team].stopped; }
    // "a 5 started 4 done 0 stopped, b ..."; empty if nothing has happened. Counting begins anew. The form is
    // read by bench/teams.py.
    [[nodiscard]] std::string take_summary();

  private:
    struct Counts {
        std::size_t started = 0, completed = 0, stopped = 0;
    };
    std::map<std::string, Counts> teams_;
};

}  // namespace coralhitch::cluster
