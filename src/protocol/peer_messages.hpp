// What controllers say to each other, in msgpack. Fields are only ever added at the end.
#pragma once
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coralhitch::protocol {

inline constexpr std::string_view peer_ping_path = "/peer/ping";
inline constexpr std::string_view peer_user_path = "/peer/user";
inline constexpr std::string_view peer_images_path = "/peer/images";
inline constexpr std::string_view peer_job_path = "/peer/job";
inline constexpr std::string_view peer_cancellation_path = "/peer/cancelled";
inline constexpr std::string_view peer_relay_path = "/peer/relay";
inline constexpr std::string_view peer_replication_path = "/peer/fleet";

// Tasks of a live job, as the leader counts them.
struct PeerTaskCounts {
    std::string id;
    std::uint64_t done = 0, running = 0;
    MSGPACK_DEFINE(id, done, running)
};
// What a version can do, as a level: each includes those before it.
namespace peer_features {
inline constexpr std::uint64_t dependencies = 1;      // jobs that depend on others
inline constexpr std::uint64_t relay = 2;             // as the leader, takes relayed heartbeats
inline constexpr std::uint64_t replication = 3;       // follows the leader with a replica
inline constexpr std::uint64_t replica_handover = 4;  // continues the previous leader's replica
inline constexpr std::uint64_t brief_pings = 5;       // reads answers to pings that omit the lists
inline constexpr std::uint64_t latest = brief_pings;
}  // namespace peer_features

struct PeerPing {
    std::string label;
    std::uint64_t incarnation = 0;
    std::uint64_t leader_version = 0;  // the newest leadership the sender knows of
    std::string leader;
    bool kv_reachable = false;                    // the key-value store answered the sender lately
    std::vector<std::string> reporting_machines;  // whose heartbeats came lately to the sender, a follower
    std::vector<PeerTaskCounts> task_counts;      // of all live jobs, from a leader
    std::uint64_t features = 0;                   // a level of the above; 0: an older version
    std::uint64_t replicated_leadership = 0;      // the last one of which the sender has a complete replica
    // Since the last heartbeat of each of `reporting_machines`; empty from an older version.
    std::vector<std::uint32_t> heartbeat_ages_ms{};
    // From a leader: machines that it suspects, and since how long each has missed heartbeats.
    std::vector<std::string> suspected{};
    std::vector<std::uint32_t> suspected_silence_ms{};
    bool lists_omitted = false;  // an answer: its lists are as in the sender's last ping
    MSGPACK_DEFINE(label, incarnation, leader_version, leader, kv_reachable, reporting_machines, task_counts,
                   features, replicated_leadership, heartbeat_ages_ms, suspected, suspected_silence_ms,
                   lists_omitted)
};
// A user's request that its controller can't decide, since it does not reach the key-value store.
struct PeerUserRequest {
    std::string method, target, body;
    MSGPACK_DEFINE(method, target, body)
};
struct PeerUserResponse {
    int status = 503;
    std::string body;
    double retry_after_s = 0;
    MSGPACK_DEFINE(status, body, retry_after_s)
};
struct PeerJobQuery {
    std::string id;
    MSGPACK_DEFINE(id)
};
struct PeerCancellation {
    std::string id;
    std::uint64_t version = 0;
    MSGPACK_DEFINE(id, version)
};
// Which images the machines have cached, from the leader: whoever leads next can't learn it from reports.
struct PeerMachineImages {
    std::string machine;
    std::vector<std::uint32_t> images;  // places in `names`, the last used last
    MSGPACK_DEFINE(machine, images)
};
struct PeerImages {
    std::vector<std::string> names;
    std::vector<double> sizes;  // GB, of each name
    std::vector<PeerMachineImages> machines;
    MSGPACK_DEFINE(names, sizes, machines)
};
struct PeerJobCounts {
    bool known = false;
    std::uint64_t done = 0, running = 0;
    MSGPACK_DEFINE(known, done, running)
};

// From a relay to the leader. One at a time; each carries the next sequence number.
struct AnsweredHeartbeat {
    std::string machine;
    std::uint64_t age_ms = 0;  // since its heartbeat came, at the time of sending
    MSGPACK_DEFINE(machine, age_ms)
};
struct RelayRequest {
    std::string label;
    std::uint64_t incarnation = 0;
    std::uint64_t leader_version = 0;  // of the leadership that it is meant for
    std::uint64_t sequence_number = 0;
    std::uint64_t acknowledged_sequence_number = 0;  // of the last request whose response the relay applied
    std::vector<std::string> heartbeats;  // as the workers sent them; each worker waits for its answer
    std::vector<AnsweredHeartbeat> answered_heartbeats;  // repeated the last one, answered by the relay
    MSGPACK_DEFINE(label, incarnation, leader_version, sequence_number, acknowledged_sequence_number,
                   heartbeats, answered_heartbeats)
};
struct RelayedReply {
    int status = 503;
    std::string body;
    // While the delegation is valid, the relay may give the same answer to a heartbeat that repeats this one.
    bool nothing_pending = false;
    MSGPACK_DEFINE(status, body, nothing_pending)
};
struct RelayResponse {
    bool is_leader = false;
    bool ready = false;                 // the heartbeats were handled; otherwise they may be sent again
    std::uint64_t delegation_ms = 0;    // counted from the sending of the request
    std::vector<RelayedReply> replies;  // to each of the request's heartbeats
    std::vector<std::string> revoked;   // machines whose next heartbeat must be relayed; applied last
    MSGPACK_DEFINE(is_leader, ready, delegation_ms, replies, revoked)
};

// From the leader to a follower: what its machines may hold. Each machine is as of the sending, and replaces
// what an earlier request said of it.
struct ReplicatedTask {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    MSGPACK_DEFINE(job, index, attempt)
};
struct ReplicatedMachine {
    std::string machine;
    bool tasks_known = false;  // it holds no others than `tasks`; otherwise anything may be on it
    bool deleted = false;
    std::uint64_t agent_epoch = 0, sequence = 0;  // of the last heartbeat that the leader received
    std::vector<ReplicatedTask> tasks;
    MSGPACK_DEFINE(machine, tasks_known, deleted, agent_epoch, sequence, tasks)
};
struct ReplicationRequest {
    std::uint64_t leader_version = 0;
    std::uint64_t sequence_number = 0;  // grows; a lower one that comes later is rejected
    std::vector<ReplicatedMachine> rows;
    // The leadership whose snapshot the replica began from that these rows continue; 0: they begin a new one.
    std::uint64_t base_version = 0;
    bool snapshot_complete = false;  // with this request the follower has all machines
    MSGPACK_DEFINE(leader_version, sequence_number, rows, base_version, snapshot_complete)
};
struct ReplicationResponse {
    bool applied = false;
    std::uint64_t incarnation = 0;   // of the process that applied it: another one has no replica
    std::uint64_t base_version = 0;  // of its replica; 0: it has none, or is of a version that does not say
    MSGPACK_DEFINE(applied, incarnation, base_version)
};

template <class T>
std::string pack_peer(const T& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}
template <class T>
std::optional<T> unpack_peer(std::string_view bytes) {
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;  // a peer of another version, or no peer at all
    }
}

}  // namespace coralhitch::protocol
