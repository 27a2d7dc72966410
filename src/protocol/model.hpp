// Plain values that every package shares. The names used on the wire live in protocol.cpp only.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::protocol {

enum class JobKind { array, gang, service };
enum class Priority { low, normal, high, production };

struct TaskId {
    std::string job;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId&) const = default;
    std::string str() const { return job + "/" + std::to_string(index); }
};

struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;
    Resources& operator+=(const Resources& o) {
        cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
        return *this;
    }
    Resources times(double n) const { return {cpus * n, gpus * n, memory_gb * n}; }
    // Sums of decimal amounts carry rounding; a task that fills a machine exactly still fits.
    bool fits(const Resources& request) const {
        constexpr double slack = 1e-6;
        return request.cpus <= cpus + slack && request.gpus <= gpus + slack &&
               request.memory_gb <= memory_gb + slack;
    }
};

struct Job {
    std::string id, cls, team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources request;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false, spread = false, spot = false;
    double estimate_s = 0, checkpoint_s = 0, save_s = 0;
    std::optional<double> deadline_s;
    std::vector<std::string> awaits;  // jobs to be done before any task of this one starts; each once
};

enum class JobState { queued, running, done, cancelled };

struct JobStatus {
    std::string id;
    JobState state = JobState::queued;
    std::optional<std::uint64_t> done, running;
};

enum class TaskState { fetching, waiting, running, saving, exited };
enum class ExitCause { none, done, stopped, peers, alone, error, no_room, busy, unknown };

struct TaskStatus {
    TaskId task;
    AttemptNumber attempt;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
};

struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    AgentEpoch agent_epoch;
    SequenceNumber sequence;
    FencingToken token;
    std::optional<double> preemption_notice_s;
    std::vector<TaskStatus> tasks;
};

enum class CommandKind { start, stop, forget };
struct Command {
    CommandKind op = CommandKind::start;
    TaskId task;
    AttemptNumber attempt;
    double grace_s = 0;
};

struct MachineType {
    std::string name;
    Resources room;
    double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};

// Machines of one type, zone and kind: what a job allows is decided once for all of them.
struct Pool {
    std::string type, zone;
    bool spot = false;
    std::size_t zone_index = 0;
    Resources total;
    double fetch_gb_per_s = 0;  // 0: not known
};
using Images = std::vector<std::uint32_t>;  // sorted; a number for each image's name

enum class HostState { booting, running, failed };
struct Host {
    std::string id, addr, type, zone;
    bool spot = false;
    HostState state = HostState::booting;
    double age_s = 0;
};

// The stored form of things: what the controllers keep at the key-value store.
struct JobRecord {
    Job job;
    double submitted = 0;  // unix seconds
    bool cancelled = false;
};
struct FinalRecord {
    JobState state = JobState::done;
    std::uint32_t tasks = 0;
};
struct MachineRecord {
    std::string addr, type, zone;
    bool spot = false;
    bool marked_for_deletion = false;  // a deletion was asked for: never to be used again
};
using MachinePage = std::vector<std::pair<std::string, MachineRecord>>;  // by machine id
struct LeaderRecord {
    std::string label;
    Incarnation incarnation;
    // It stores a record of who follows it before its first `run`. Versions that don't, say nothing.
    bool keeps_record = false;
};
// Who has taken in every start that may have been sent under this leadership, or before it.
struct StandbyRecord {
    struct Member {
        std::string label;
        Incarnation incarnation;  // of its process
        LeaderVersion begun;      // the leadership under which its copy was begun from nothing
        bool operator==(const Member&) const = default;
    };
    LeaderVersion version;  // of the leader's key
    std::vector<Member> members;
};

}  // namespace coralhitch::protocol
