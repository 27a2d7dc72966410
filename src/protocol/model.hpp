// Plain value types that every package shares. Their names on the wire are defined only in the .cpp files of
// this package and in protocol/names.hpp. Fields that end in `_s` are in seconds, in `_gb` in gigabytes.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::protocol {

// How the tasks of a job are scheduled: independently, all together, or as a long-running service.
enum class JobKind { array, gang, service };
// The priority of a job, lowest first.
enum class Priority { low, normal, high, production };

// Identifies one task of a job by its index, counted from 0.
struct TaskId {
    std::string job;
    std::uint32_t index = 0;
    bool operator==(const TaskId&) const = default;
    std::strong_ordering operator<=>(const TaskId& other) const {
        const auto by_job = job <=> other.job;
        return std::is_neq(by_job) ? by_job : index <=> other.index;
    }
    std::string str() const { return job + "/" + std::to_string(index); }
};

// Resources that a task requests or that a machine offers.
struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;
    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory_gb += other.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memory_gb -= other.memory_gb;
        return *this;
    }
    Resources times(double count) const { return {cpus * count, gpus * count, memory_gb * count}; }
    // Returns whether a request fits into these resources. Tolerates the rounding errors of sums of decimal
    // amounts, so that a task that fills a machine exactly still fits.
    bool fits(const Resources& request) const {
        constexpr double slack = 1e-6;
        return request.cpus <= cpus + slack && request.gpus <= gpus + slack &&
               request.memory_gb <= memory_gb + slack;
    }
};

// A job as its user described it. `types` and `zone`, where set, restrict the machines its tasks may run on;
// `one_zone` keeps all tasks in one zone, `spread` places at most half of them (rounded up) in any one zone;
// `spot` permits spot machines.
struct Job {
    std::string id, job_class, team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources request;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false, spread = false, spot = false;
    double estimated_run_s = 0, checkpoint_interval_s = 0;
    double checkpoint_save_s = 0;  // time that a task takes to save a checkpoint
    std::optional<double> deadline_s;
    std::vector<std::string> dependencies;  // sorted ids of jobs that must be done before this one starts
};

// The state of a job, as users see it.
enum class JobState { queued, running, done, cancelled };

// The status of a job as a user sees it.
struct JobStatus {
    std::string id;
    JobState state = JobState::queued;
    std::optional<std::uint64_t> done, running;  // numbers of tasks; unset if not known
};

// The state of a task on a machine.
enum class TaskState { fetching, waiting, running, checkpointing, exited };
// The reason for the exit of a task.
enum class ExitCause {
    none,
    done,
    stopped,
    gang_member_lost,  // another task of its gang was lost
    gang_incomplete,   // its gang did not become complete in time
    error,
    insufficient_resources,  // the agent refused the start
    other_attempt_present,   // the agent refused the start: the machine holds another attempt of this task
    unknown
};

// The status of a task as the agent reports it in a heartbeat.
struct TaskStatus {
    TaskId task;
    AttemptNumber attempt;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;  // none: the task has not exited
    bool saved = false;                 // the task had stored a checkpoint when it exited
};

// An agent's periodic message. `token`: the highest fencing token that it has seen.
struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    AgentEpoch agent_epoch;
    SequenceNumber sequence;
    FencingToken token;
    std::optional<double> preemption_notice_s;  // seconds until the cloud reclaims the spot machine
    std::vector<TaskStatus> tasks;
};

// Kinds of commands. `forget` tells the agent that the outcome of an exited task is stored, so that it may
// drop the task.
enum class CommandKind { start, stop, forget };
// A command to an agent about one task. `grace_s` is only used by `stop`.
struct Command {
    CommandKind kind = CommandKind::start;
    TaskId task;
    AttemptNumber attempt;
    double grace_s = 0;
};

// A machine type of the cloud. Prices are per hour.
struct MachineType {
    std::string name;
    Resources capacity;
    double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};

// A group of machines of the same type and zone that are all spot or all regular. A job's placement
// constraints are evaluated once for the whole pool.
struct Pool {
    std::string type, zone;
    bool spot = false;
    std::size_t zone_index = 0;
    Resources total;
    double fetch_gb_per_s = 0;  // 0: not known
};
using ImageIds = std::vector<std::uint32_t>;  // sorted ids, one for each image name

// The state of a machine, as the cloud lists it.
enum class HostState { booting, running, failed };
// A machine as the cloud lists it.
struct Host {
    std::string id, addr, type, zone;
    bool spot = false;
    HostState state = HostState::booting;
    double age_s = 0;
};

// The structs below are stored in the key-value store; see protocol/records.hpp.

// The record of a live job.
struct JobRecord {
    Job job;
    double submitted = 0;  // unix seconds
    bool cancelled = false;
};
// The final record of a job: its last state and its number of tasks.
struct FinalRecord {
    JobState state = JobState::done;
    std::uint32_t tasks = 0;
};
// The record of a machine that may hold tasks.
struct MachineRecord {
    std::string addr, type, zone;
    bool spot = false;
    bool marked_for_deletion = false;  // its deletion was requested; it must not be used again
};
// A machine's id with its record.
struct StoredMachine {
    std::string id;
    MachineRecord record;
};
using MachinePage = std::vector<StoredMachine>;  // machines that share one stored value
// The value of the leader's key.
struct LeaderRecord {
    std::string label;
    Incarnation incarnation;
    // This leader stores `InSyncReplicas` before it sends its first start command. Older versions, which do
    // not store that record, omit this field.
    bool stores_in_sync_replicas = false;
};
// The controllers that have acknowledged every start that may have been sent, both under this leadership and
// under earlier ones.
struct InSyncReplicas {
    struct Member {
        std::string label;
        Incarnation incarnation;     // of the controller process
        LeaderVersion base_version;  // leadership whose snapshot its replica began from
        bool operator==(const Member&) const = default;
    };
    LeaderVersion leader_version;  // leadership that stored the record
    std::vector<Member> members;
};

}  // namespace coralhitch::protocol
