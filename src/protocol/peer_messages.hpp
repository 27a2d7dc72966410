// Messages between controllers, encoded as msgpack. A message is an array of its fields in order, without
// their names. A field may therefore be renamed, but new fields are added only at the end, with a default
// that is right for messages from older versions.
#pragma once
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::protocol {

// Paths on the controllers' HTTP servers for peers. Older versions use the same texts, so they do not change.
inline constexpr std::string_view peer_ping_path = "/peer/ping";
inline constexpr std::string_view peer_user_path = "/peer/user";
inline constexpr std::string_view peer_images_path = "/peer/images";
inline constexpr std::string_view peer_job_path = "/peer/job";
inline constexpr std::string_view peer_cancellation_path = "/peer/cancelled";
inline constexpr std::string_view peer_relay_path = "/peer/relay";
inline constexpr std::string_view peer_replication_path = "/peer/fleet";

// Numbers of done and running tasks of a live job, as the leader counts them.
struct PeerTaskCounts {
    std::string id;
    std::uint64_t done = 0, running = 0;
    MSGPACK_DEFINE(id, done, running)
};

// Feature levels of versions. Each level includes all lower ones.
namespace peer_features {
inline constexpr std::uint64_t dependencies = 1;      // supports jobs that depend on others
inline constexpr std::uint64_t relay = 2;             // accepts relayed heartbeats when it leads
inline constexpr std::uint64_t replication = 3;       // keeps a replica of the leader's state
inline constexpr std::uint64_t replica_handover = 4;  // can continue a replica that a previous leader began
inline constexpr std::uint64_t brief_pings = 5;       // accepts ping answers with the lists omitted
inline constexpr std::uint64_t latest = brief_pings;
}  // namespace peer_features

// The status of a controller, sent to its peers several times per heartbeat period and as the answer to a
// peer's ping.
struct PeerPing {
    std::string label;
    Incarnation incarnation;
    LeaderVersion leader_version;  // newest leadership that the sender knows of
    std::string leader;
    bool kv_reachable = false;  // the key-value store answered the sender recently
    // From a follower: the machines that recently sent it heartbeats.
    std::vector<std::string> reporting_machines;
    std::vector<PeerTaskCounts> task_counts;  // from a leader: of all live jobs
    std::uint64_t features = 0;               // a level of peer_features; 0: an older version
    LeaderVersion replicated_leadership;      // last leadership of which the sender has a complete replica
    // Milliseconds since the last heartbeat of each of `reporting_machines`; empty from an older version.
    std::vector<std::uint32_t> heartbeat_ages_ms{};
    // From a leader: the machines that it suspects, and for how long each has sent no heartbeat.
    std::vector<std::string> suspected{};
    std::vector<std::uint32_t> suspected_silence_ms{};
    bool lists_omitted = false;  // in an answer: the lists are unchanged since the sender's last ping
    MSGPACK_DEFINE(label, incarnation, leader_version, leader, kv_reachable, reporting_machines, task_counts,
                   features, replicated_leadership, heartbeat_ages_ms, suspected, suspected_silence_ms,
                   lists_omitted)
};

// A user's request, forwarded by a controller that cannot reach the key-value store itself.
struct PeerUserRequest {
    std::string method, target, body;
    MSGPACK_DEFINE(method, target, body)
};
// The response to a forwarded request, as the user gets it. `retry_after_s` is the value of the Retry-After
// header; 0: no header.
struct PeerUserResponse {
    int status = 503;
    std::string body;
    double retry_after_s = 0;
    MSGPACK_DEFINE(status, body, retry_after_s)
};
// Query to the leader for the task counts of one job; PeerJobCounts is the answer.
struct PeerJobQuery {
    std::string id;
    MSGPACK_DEFINE(id)
};
// Notice of a cancellation that has been stored, so that the leader need not wait for its watch to see it.
struct PeerCancellation {
    std::string id;             // of the job
    std::uint64_t version = 0;  // revision at which its record was marked as cancelled
    MSGPACK_DEFINE(id, version)
};
// The images that a machine has cached, sent by the leader. Heartbeats do not carry them, so the next leader
// has no other source.
struct PeerMachineImages {
    std::string machine;
    std::vector<std::uint32_t> images;  // indexes into `PeerImages::names`, most recently used last
    MSGPACK_DEFINE(machine, images)
};
// The cached images of all machines of the leader. Each image name is sent once.
struct PeerImages {
    std::vector<std::string> names;
    std::vector<double> sizes;  // GB, of each name
    std::vector<PeerMachineImages> machines;
    MSGPACK_DEFINE(names, sizes, machines)
};
// The answer to a PeerJobQuery.
struct PeerJobCounts {
    bool known = false;  // the answering controller leads and has the job
    std::uint64_t done = 0, running = 0;
    MSGPACK_DEFINE(known, done, running)
};

// A machine that sent its last heartbeat again unchanged, which the relay answered itself under a delegation.
struct AnsweredHeartbeat {
    std::string machine;
    std::uint64_t age_ms = 0;  // from the heartbeat's arrival to the sending of this message
    MSGPACK_DEFINE(machine, age_ms)
};
// Heartbeats that a relay received, sent to the leader. A relay has one request in flight at a time, and each
// carries the next sequence number.
struct RelayRequest {
    std::string label;
    Incarnation incarnation;
    LeaderVersion leader_version;  // leadership that the request is meant for
    std::uint64_t sequence_number = 0;
    std::uint64_t acknowledged_sequence_number = 0;  // of the last request whose response the relay applied
    std::vector<std::string> heartbeats;  // as the agents sent them; each agent waits for its response
    std::vector<AnsweredHeartbeat> answered_heartbeats;  // answered by the relay itself
    MSGPACK_DEFINE(label, incarnation, leader_version, sequence_number, acknowledged_sequence_number,
                   heartbeats, answered_heartbeats)
};
// The leader's reply to one relayed heartbeat, to be passed to the agent.
struct RelayedReply {
    int status = 503;
    std::string body;
    // The relay may give the same answer to unchanged heartbeats for as long as its delegation is valid.
    bool nothing_pending = false;
    MSGPACK_DEFINE(status, body, nothing_pending)
};
// The leader's response to a RelayRequest.
struct RelayResponse {
    bool is_leader = false;
    bool ready = false;  // the leader handled the heartbeats; otherwise the relay may send them again
    std::uint64_t delegation_ms = 0;    // duration of the delegation, from the sending of the request
    std::vector<RelayedReply> replies;  // to each of the request's heartbeats
    // Machines whose next heartbeat must be relayed. Applied after `replies`.
    std::vector<std::string> revoked;
    MSGPACK_DEFINE(is_leader, ready, delegation_ms, replies, revoked)
};

// A task that a machine may hold.
struct ReplicatedTask {
    std::string job;
    std::uint32_t index = 0;
    AttemptNumber attempt;
    MSGPACK_DEFINE(job, index, attempt)
};
// The leader's state of one machine when the request is sent. Replaces the state from earlier requests.
struct ReplicatedMachine {
    std::string machine;
    bool tasks_known = false;  // it holds no tasks but `tasks`; if false, it may hold any others
    bool deleted = false;
    AgentEpoch agent_epoch;
    SequenceNumber sequence;  // of the last heartbeat that the leader received
    std::vector<ReplicatedTask> tasks;
    MSGPACK_DEFINE(machine, tasks_known, deleted, agent_epoch, sequence, tasks)
};
// Machines that have changed, or a part of a snapshot of all machines, sent by the leader to a follower.
struct ReplicationRequest {
    LeaderVersion leader_version;
    std::uint64_t sequence_number = 0;  // increasing; a follower rejects a lower one that arrives later
    std::vector<ReplicatedMachine> rows;
    // Leadership whose snapshot began the replica that these rows continue; 0: these rows begin a new
    // replica.
    LeaderVersion base_version;
    bool snapshot_complete = false;  // with this request the follower has received all machines
    MSGPACK_DEFINE(leader_version, sequence_number, rows, base_version, snapshot_complete)
};
// The follower's response to a ReplicationRequest.
struct ReplicationResponse {
    bool applied = false;
    Incarnation incarnation;     // of the process that applied the request; its replica is lost with it
    LeaderVersion base_version;  // of its replica; 0: no replica, or an older version that omits this
    MSGPACK_DEFINE(applied, incarnation, base_version)
};

// Returns the encoded bytes of a message.
template <class T>
std::string pack_peer(const T& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}
// Decodes a message. Returns nullopt if the bytes are not a message of this type.
template <class T>
std::optional<T> unpack_peer(std::string_view bytes) {
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;  // from an incompatible version, or not from a peer
    }
}

}  // namespace coralhitch::protocol
