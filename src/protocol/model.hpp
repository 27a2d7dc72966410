// Plain values that every package shares. Their names on the wire are only in the .cpp files of this package
// and in protocol/names.hpp.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::protocol {

enum class JobKind { array, gang, service };
enum class Priority { low, normal, high, production };

// One task of a job: its index from 0.
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

// What a task requests, or what a machine offers.
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
    // Sums of decimal amounts carry rounding; a task that fills a machine exactly still fits.
    bool fits(const Resources& request) const {
        constexpr double slack = 1e-6;
        return request.cpus <= cpus + slack && request.gpus <= gpus + slack &&
               request.memory_gb <= memory_gb + slack;
    }
};

// A job as its user described it.
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
    double checkpoint_save_s = 0;  // how long a task takes to save one
    std::optional<double> deadline_s;
    std::vector<std::string> dependencies;  // jobs to be done before any task of this one starts; each once
};

enum class JobState { queued, running, done, cancelled };

// The status of a job as a user sees it.
struct JobStatus {
    std::string id;
    JobState state = JobState::queued;
    std::optional<std::uint64_t> done, running;
};

enum class TaskState { fetching, waiting, running, checkpointing, exited };
enum class ExitCause {
    none,
    done,
    stopped,
    gang_member_lost,  // another task of its gang has disappeared
    gang_incomplete,   // its gang was not complete in time
    error,
    insufficient_resources,  // the start was refused
    other_attempt_present,   // the start was refused: the machine has this task with another attempt number
    unknown
};

// A task as the agent reports it.
struct TaskStatus {
    TaskId task;
    AttemptNumber attempt;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;  // none: it has not exited
    bool saved = false;                 // it had stored a checkpoint when it exited
};

// An agent's periodic message. `token`: the highest fencing token that it has seen.
struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    AgentEpoch agent_epoch;
    SequenceNumber sequence;
    FencingToken token;
    std::optional<double> preemption_notice_s;  // a spot instance is taken back in so many seconds
    std::vector<TaskStatus> tasks;
};

enum class CommandKind { start, stop, forget };
// What a worker is to do with one task; `grace_s` is for stops.
struct Command {
    CommandKind kind = CommandKind::start;
    TaskId task;
    AttemptNumber attempt;
    double grace_s = 0;
};

// A machine type of the cloud. Prices are by the hour.
struct MachineType {
    std::string name;
    Resources capacity;
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
using ImageIds = std::vector<std::uint32_t>;  // sorted; a number for each image's name

enum class HostState { booting, running, failed };
// A machine as the cloud lists it.
struct Host {
    std::string id, addr, type, zone;
    bool spot = false;
    HostState state = HostState::booting;
    double age_s = 0;
};

// What the controllers keep at the key-value store; see protocol/records.hpp.

// A live job.
struct JobRecord {
    Job job;
    double submitted = 0;  // unix seconds
    bool cancelled = false;
};
// How a job has ended.
struct FinalRecord {
    JobState state = JobState::done;
    std::uint32_t tasks = 0;
};
// A machine that may hold tasks.
struct MachineRecord {
    std::string addr, type, zone;
    bool spot = false;
    bool marked_for_deletion = false;  // a deletion was asked for: never to be used again
};
struct StoredMachine {
    std::string id;
    MachineRecord record;
};
using MachinePage = std::vector<StoredMachine>;  // many machines in one stored value
// The value of the leader's key.
struct LeaderRecord {
    std::string label;
    Incarnation incarnation;
    // This leader stores `InSyncReplicas` before its first start. Versions that do not store it leave this
    // out.
    bool stores_in_sync_replicas = false;
};
// Which controllers have acknowledged every start that can have been sent under a leadership, or before it.
struct InSyncReplicas {
    struct Member {
        std::string label;
        Incarnation incarnation;     // of its process
        LeaderVersion base_version;  // the leadership whose snapshot its replica began from
        bool operator==(const Member&) const = default;
    };
    LeaderVersion leader_version;  // of the leader's key
    std::vector<Member> members;
};

}  // namespace coralhitch::protocol
