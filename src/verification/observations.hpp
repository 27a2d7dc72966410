// What has been observed so far: what users were told about jobs, and what runs on which machine. Keeps no
// rule; the rules read it.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "protocol/model.hpp"

namespace coralhitch::verification {

struct MachinePlace {
    std::string type, zone;
    bool spot = false;
    protocol::Resources capacity;
};

struct ObservedJob {
    protocol::Job job;
    bool must_be_refused = false;   // it can't run, and no answer may accept it
    bool fails_everywhere = false;  // its tasks do: it may be held back for as long as the cluster likes
    bool cancel_requested = false;
    // When a user first received it.
    std::optional<double> accepted_at, cancelled_at, done_at;
    double answered_at = 0;  // a query about it, or its submission, most recently
    bool unanswered_too_long = false;
    std::optional<double> waiting_since;  // with room and quota, and nothing of it started since
    bool waited_too_long = false;
    std::set<std::uint32_t> tasks_done;
    std::multimap<std::uint32_t, std::string> machines_of_task;  // more than one only if a rule is broken
    std::map<std::string, std::uint32_t> tasks_per_zone;

    // Tasks of a gang complete together.
    bool is_done() const;
};

class Observations {
  public:
    using Jobs = std::map<std::string, ObservedJob>;

    ObservedJob& add_job(const protocol::Job& job);
    ObservedJob* find(const std::string& job);
    const ObservedJob* find(const std::string& job) const;
    Jobs& jobs() { return jobs_; }
    const Jobs& jobs() const { return jobs_; }
    bool is_done(const std::string& job) const;
    // Of the job itself, or of one that it awaits.
    bool cancel_wanted(const std::string& job) const;
    // When a user was first told that a job which this one awaits is cancelled.
    std::optional<double> awaited_cancelled_at(const std::string& job) const;

    void add_machine(const std::string& machine, MachinePlace place) {
        machines_[machine] = std::move(place);
    }
    const MachinePlace& place_of(const std::string& machine) { return machines_[machine]; }
    void add_task(ObservedJob& job, std::uint32_t index, const std::string& machine);
    // Does nothing if the task is not there.
    void remove_task(ObservedJob& job, std::uint32_t index, const std::string& machine);
    void remove_tasks_of(const std::string& machine);

    // For how many more tasks of the job the machine has room.
    std::size_t places_for(const protocol::Job& job, const std::string& machine) const;
    // Of a team, by all that is on machines.
    protocol::Resources used_by(const std::string& team) const;
    std::size_t tasks_on_machines() const { return present_; }

  private:
    Jobs jobs_;
    std::map<std::string, MachinePlace> machines_;
    std::map<std::string, std::set<protocol::TaskId>> tasks_of_machine_;
    std::map<std::string, protocol::Resources> used_by_team_;
    std::size_t present_ = 0;
};

}  // namespace coralhitch::verification
