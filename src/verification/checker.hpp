// The rules of the protocol, checked on events in the order of their times. Pure: no clock, no network, no
// decision of the scheduler. Whoever observes workers and users feeds it.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::verification {

struct TeamLimit {
    double cpus_max = 0, gpus_max = 0;  // 0: no limit
};
struct Rules {
    double cancel_s = 0;
    std::map<std::string, TeamLimit> teams;
};
struct MachinePlace {
    std::string type, zone;
    bool spot = false;
    protocol::Resources room;
};

// All times are seconds of one clock; each call's time is at least that of the call before.
class Checker {
  public:
    explicit Checker(Rules rules) : rules_(std::move(rules)) {}

    // What users do and are told.
    void submitted(const protocol::Job& job);
    void accepted(const std::string& id);
    void cancel_asked(const std::string& id);
    // An answer about a job. Answers overtake each other: one that says neither done nor cancelled counts
    // only if the user had been told that the job is over before asking, which the caller sees to.
    void told(double now, const std::string& id, protocol::JobState state);
    // A question that got 404.
    void denied(double now, const std::string& id);

    // What happens on machines. A task takes its place when its worker carries out the command to start it.
    void machine(const std::string& id, MachinePlace place) { machines_[id] = std::move(place); }
    void started(double now, const std::string& machine, const protocol::TaskId& task);
    void ended(double now, const std::string& machine, const protocol::TaskId& task,
               protocol::ExitCause cause);
    void machine_gone(const std::string& machine);
    // Looks for tasks of cancelled jobs that are still on a machine.
    void look(double now);

    const std::vector<std::string>& broken() const { return broken_; }
    std::size_t started_tasks() const { return starts_; }
    std::size_t present() const { return present_; }
    bool is_done(const std::string& id) const;

  private:
    struct Observed {
        protocol::Job job;
        bool accepted = false, cancel_asked = false, cancelled = false, done = false;
        double cancelled_at = 0;
        std::set<std::uint32_t> tasks_done;
        std::map<std::uint32_t, std::string> on;  // task -> machine
        std::map<std::string, std::uint32_t> per_zone;
    };
    void rule(double now, const std::string& what);
    void check_quota(double now, const protocol::Job& job, const std::string& task);
    void check_place(double now, const Observed& o, const MachinePlace& place, const std::string& task);
    void remove(Observed& o, std::uint32_t index);

    Rules rules_;
    std::map<std::string, MachinePlace> machines_;
    std::map<std::string, Observed> jobs_;
    std::map<std::string, std::set<protocol::TaskId>> on_machine_;
    std::map<std::string, protocol::Resources> used_;  // by team
    std::set<std::string> cancelled_;                  // with tasks on machines, perhaps
    std::size_t starts_ = 0, present_ = 0;
    std::vector<std::string> broken_;
};

}  // namespace coralhitch::verification
