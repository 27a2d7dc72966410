// Messages between controllers, in msgpack. Each is an array of its fields in their order, without their
// names: a field may be renamed, but is only ever added at the end, with a default that an older sender
// means.
#pragma once
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::protocol {

// Paths of the peers' HTTP servers. Their texts are what versions before this one use.
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

// What a controller says of itself several times in a heartbeat period, and in answer to a peer's ping.
struct PeerPing {
    std::string label;
    Incarnation incarnation;
    LeaderVersion leader_version;  // the newest leadership the sender knows of
    std::string leader;
    bool kv_reachable = false;                    // the key-value store answered the sender lately
    std::vector<std::string> reporting_machines;  // whose heartbeats came lately to the sender, a follower
    std::vector<PeerTaskCounts> task_counts;      // of all live jobs, from a leader
    std::uint64_t features = 0;                   // a level of the above; 0: an older version
    LeaderVersion replicated_leadership;          // the last one of which the sender has a complete replica
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

// A user's request that its controller forwards, since it does not reach the key-value store itself.
struct PeerUserRequest {
    std::string method, target, body;
    MSGPACK_DEFINE(method, target, body)
};
// What its user is to get. `retry_after_s`: the header of this name; 0: none.
struct PeerUserResponse {
    int status = 503;
    std::string body;
    double retry_after_s = 0;
    MSGPACK_DEFINE(status, body, retry_after_s)
};
// Asks the leader for the counts of one job; answered by PeerJobCounts.
struct PeerJobQuery {
    std::string id;
    MSGPACK_DEFINE(id)
};
// A confirmed cancellation, so that the leader need not wait for its watch.
struct PeerCancellation {
    std::string id;             // of the job
    std::uint64_t version = 0;  // of its record, which says since then that it is cancelled
    MSGPACK_DEFINE(id, version)
};
// Which images the machines have cached, from the leader: whoever leads next can't learn it from heartbeats.
struct PeerMachineImages {
    std::string machine;
    std::vector<std::uint32_t> images;  // positions in `PeerImages::names`, the most recently used last
    MSGPACK_DEFINE(machine, images)
};
// All machines of the leader; images are named once.
struct PeerImages {
    std::vector<std::string> names;
    std::vector<double> sizes;  // GB, of each name
    std::vector<PeerMachineImages> machines;
    MSGPACK_DEFINE(names, sizes, machines)
};
struct PeerJobCounts {
    bool known = false;  // the answering controller leads and has the job
    std::uint64_t done = 0, running = 0;
    MSGPACK_DEFINE(known, done, running)
};

// A machine that repeated its last heartbeat and was answered by the relay, under a delegation.
struct AnsweredHeartbeat {
    std::string machine;
    std::uint64_t age_ms = 0;  // since its heartbeat came, at the time of sending
    MSGPACK_DEFINE(machine, age_ms)
};
// From a relay to the leader: heartbeats that it received. One at a time; each carries the next sequence
// number.
struct RelayRequest {
    std::string label;
    Incarnation incarnation;
    LeaderVersion leader_version;  // of the leadership that it is meant for
    std::uint64_t sequence_number = 0;
    std::uint64_t acknowledged_sequence_number = 0;  // of the last request whose response the relay applied
    std::vector<std::string> heartbeats;  // as the workers sent them; each worker waits for its answer
    std::vector<AnsweredHeartbeat> answered_heartbeats;  // repeated the last one, answered by the relay
    MSGPACK_DEFINE(label, incarnation, leader_version, sequence_number, acknowledged_sequence_number,
                   heartbeats, answered_heartbeats)
};
// The leader's reply to one relayed heartbeat, as the worker is to get it.
struct RelayedReply {
    int status = 503;
    std::string body;
    // While the delegation is valid, the relay may give the same answer to a heartbeat that repeats this one.
    bool nothing_pending = false;
    MSGPACK_DEFINE(status, body, nothing_pending)
};
// The leader's response to a RelayRequest.
struct RelayResponse {
    bool is_leader = false;
    bool ready = false;                 // the heartbeats were handled; otherwise they may be sent again
    std::uint64_t delegation_ms = 0;    // counted from the sending of the request
    std::vector<RelayedReply> replies;  // to each of the request's heartbeats
    std::vector<std::string> revoked;   // machines whose next heartbeat must be relayed; applied last
    MSGPACK_DEFINE(is_leader, ready, delegation_ms, replies, revoked)
};

// A task that a machine may hold.
struct ReplicatedTask {
    std::string job;
    std::uint32_t index = 0;
    AttemptNumber attempt;
    MSGPACK_DEFINE(job, index, attempt)
};
// A machine of the leader's as of the sending; replaces what an earlier request said of it.
struct ReplicatedMachine {
    std::string machine;
    bool tasks_known = false;  // it holds no others than `tasks`; otherwise anything may be on it
    bool deleted = false;
    AgentEpoch agent_epoch;
    SequenceNumber sequence;  // of the last heartbeat that the leader received
    std::vector<ReplicatedTask> tasks;
    MSGPACK_DEFINE(machine, tasks_known, deleted, agent_epoch, sequence, tasks)
};
// From the leader to a follower: machines that have changed, or a part of a snapshot of all.
struct ReplicationRequest {
    LeaderVersion leader_version;
    std::uint64_t sequence_number = 0;  // grows; a lower one that comes later is rejected
    std::vector<ReplicatedMachine> rows;
    // The leadership whose snapshot the replica began from that these rows continue; 0: they begin a new one.
    LeaderVersion base_version;
    bool snapshot_complete = false;  // with this request the follower has all machines
    MSGPACK_DEFINE(leader_version, sequence_number, rows, base_version, snapshot_complete)
};
// The follower's response to a ReplicationRequest.
struct ReplicationResponse {
    bool applied = false;
    Incarnation incarnation;     // of the process that applied it: another one has no replica
    LeaderVersion base_version;  // of its replica; 0: it has none, or is of a version that does not say
    MSGPACK_DEFINE(applied, incarnation, base_version)
};

// The bytes of a message.
template <class T>
std::string pack_peer(const T& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}
// Nothing if these are not the bytes of such a message.
template <class T>
std::optional<T> unpack_peer(std::string_view bytes) {
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;  // a peer of another version, or no peer at all
    }
}

}  // namespace coralhitch::protocol
