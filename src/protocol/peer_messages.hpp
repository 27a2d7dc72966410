// What controllers say to each other, in msgpack. Fields are only ever added at the end.
#pragma once
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::protocol {

inline constexpr std::string_view peer_ping_path = "/peer/ping";
inline constexpr std::string_view peer_user_path = "/peer/user";
inline constexpr std::string_view peer_images_path = "/peer/images";
inline constexpr std::string_view peer_job_path = "/peer/job";
inline constexpr std::string_view peer_cancelled_path = "/peer/cancelled";
inline constexpr std::string_view peer_relay_path = "/peer/relay";
inline constexpr std::string_view peer_fleet_path = "/peer/fleet";

// Tasks of a live job, as the leader counts them.
struct PeerCount {
    std::string id;
    std::uint64_t done = 0, running = 0;
    MSGPACK_DEFINE(id, done, running)
};
inline constexpr std::uint64_t peer_features_awaits = 1;  // jobs that await others
inline constexpr std::uint64_t peer_features_relay = 2;   // takes reports that another controller heard
inline constexpr std::uint64_t peer_features_follow = 3;  // takes what the leader tells of its machines
inline constexpr std::uint64_t peer_features_carry = 4;   // goes on from the copy of the leader before
inline constexpr std::uint64_t peer_features_brief = 5;   // takes answers to pings that leave out the lists
inline constexpr std::uint64_t peer_features = peer_features_brief;

struct PeerPing {
    std::string label;
    Incarnation incarnation;
    LeaderVersion leader_version;  // the newest leadership the sender knows of
    std::string leader;
    bool state_ok = false;             // the key-value store answered the sender lately
    std::vector<std::string> workers;  // machines that lately reported to the sender, which does not lead
    std::vector<PeerCount> counts;     // of all live jobs, from a leader
    std::uint64_t features = 0;        // what its version can do: a sender that says nothing is an old one
    LeaderVersion followed{};          // the last leadership that told it all that its machines hold
    std::vector<std::uint32_t> ages_ms{};  // since each of `workers` reported; an older version says nothing
    // From a leader: machines that it has not heard when it should have, and for how long.
    std::vector<std::string> silent{};
    std::vector<std::uint32_t> silent_ms{};
    bool brief = false;  // an answer: `workers` and the lists after it are as in the sender's last ping
    MSGPACK_DEFINE(label, incarnation, leader_version, leader, state_ok, workers, counts, features, followed,
                   ages_ms, silent, silent_ms, brief)
};
// A user's request that its controller can't decide, since it does not reach the key-value store.
struct PeerUserRequest {
    std::string method, target, body;
    MSGPACK_DEFINE(method, target, body)
};
struct PeerUserAnswer {
    int status = 503;
    std::string body;
    double retry_after_s = 0;
    MSGPACK_DEFINE(status, body, retry_after_s)
};
struct PeerJobQuery {
    std::string id;
    MSGPACK_DEFINE(id)
};
struct PeerCancelled {
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

// From a controller that hears workers for the leader. One at a time; each carries the next number.
struct PeerHeard {
    std::string machine;
    std::uint64_t age_ms = 0;  // since its report came, at the time of sending
    MSGPACK_DEFINE(machine, age_ms)
};
struct PeerRelay {
    std::string label;
    Incarnation incarnation;
    LeaderVersion leader_version;  // of the leadership that it is meant for
    std::uint64_t number = 0;
    std::uint64_t answered = 0;        // the number of the last of these whose answer was taken in
    std::vector<std::string> reports;  // as the workers sent them; each worker waits for its answer
    std::vector<PeerHeard> heard;      // machines that repeated their last report, and were answered
    MSGPACK_DEFINE(label, incarnation, leader_version, number, answered, reports, heard)
};
struct PeerRelayed {
    int status = 503;
    std::string body;
    // Nothing is to be said to this machine: while the grant lasts, the same answer may be given to a report
    // that repeats this one.
    bool quiet = false;
    MSGPACK_DEFINE(status, body, quiet)
};
struct PeerRelayAnswer {
    bool leads = false, ready = false;  // ready: reports are taken; otherwise they may be sent again
    std::uint64_t grant_ms = 0;         // counted from the sending of what this answers
    std::vector<PeerRelayed> answers;   // of each report
    std::vector<std::string> recalled;  // machines whose next report must come here; applied last
    MSGPACK_DEFINE(leads, ready, grant_ms, answers, recalled)
};

// From the leader to a controller that follows it: what its machines may hold. A row says all of its machine,
// as of the sending; it replaces what an earlier piece said.
struct PeerPlaced {
    std::string job;
    std::uint32_t index = 0;
    AttemptNumber attempt;
    MSGPACK_DEFINE(job, index, attempt)
};
struct PeerMachineRow {
    std::string machine;
    bool known = false;  // it holds these tasks at the most; otherwise anything may be on it
    bool gone = false;   // it was deleted
    AgentEpoch agent_epoch;
    SequenceNumber sequence;  // of the last report that the leader heard
    std::vector<PeerPlaced> tasks;
    MSGPACK_DEFINE(machine, known, gone, agent_epoch, sequence, tasks)
};
struct PeerFleet {
    LeaderVersion leader_version;
    std::uint64_t number = 0;  // of this piece, growing; pieces of lower numbers that come later are refused
    std::vector<PeerMachineRow> rows;
    // The leadership under which the copy was begun that these rows go on from; 0: they begin one.
    LeaderVersion begun{};
    bool whole = false;  // all has been told by now, in this piece and those before
    MSGPACK_DEFINE(leader_version, number, rows, begun, whole)
};
struct PeerFleetAnswer {
    bool taken = false;
    Incarnation incarnation;  // of the process that took it: another one knows nothing of what came before
    LeaderVersion begun{};    // the leadership under which its copy was begun; 0: none, or it does not say
    MSGPACK_DEFINE(taken, incarnation, begun)
};

template <class T>
std::string pack_peer(const T& v) {
    msgpack::sbuffer b;
    msgpack::pack(b, v);
    return {b.data(), b.size()};
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
