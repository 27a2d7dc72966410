// Plain values that every package shares. The names used on the wire live in protocol.cpp only.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

struct TaskStatus {
    TaskId task;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
};

struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0, sequence = 0, token = 0;
    std::optional<double> preemption_notice_s;
    std::vector<TaskStatus> tasks;
};

enum class CommandKind { start, stop, forget };
struct Command {
    CommandKind kind = CommandKind::start;
    TaskId task;
    std::uint64_t attempt = 0;
    double grace_s = 0;
};

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
    std::uint64_t incarnation = 0;
    // This leader stores `InSyncReplicas` before its first start. Versions that do not store it leave this
    // out.
    bool stores_in_sync_replicas = false;
};
// Which controllers have acknowledged every start that can have been sent under a leadership, or before it.
struct InSyncReplicas {
    struct Member {
        std::string label;
        std::uint64_t incarnation = 0;   // of its process
        std::uint64_t base_version = 0;  // the leadership whose snapshot its replica began from
        bool operator==(const Member&) const = default;
    };
    std::uint64_t leader_version = 0;  // of the leader's key
    std::vector<Member> members;
};

}  // namespace coralhitch::protocol
