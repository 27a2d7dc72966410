// Recognises heartbeats that repeat the last one of their machine, and keeps the reply so that it can be
// given again.
//
// Most heartbeats are repetitions: an agent sends one every few seconds, and its tasks change every few
// minutes. Parsing each heartbeat took a leader more time than all its decisions.
//
// The cache keeps the whole text and compares all of it except the digits of the sequence number. It uses no
// hash of the text, so there are no collisions. A heartbeat has about a hundred bytes for each task, so
// 10,000 machines take a few megabytes.
//
// Not thread safe.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/agent_api.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::relay {

// A heartbeat and the reply to it.
struct CachedReply {
    std::string heartbeat;                                 // body of the heartbeat that was parsed in full
    std::size_t sequence_offset = 0, sequence_digits = 0;  // position of the sequence number in `heartbeat`
    protocol::SequenceNumber sequence;  // sequence number of the last heartbeat with this content
    double parsed_at = 0;               // seconds of the injected clock
    std::string reply_body;             // body of the reply, whose status was 200
};

// The last heartbeat of each machine with its reply.
class ReplyCache {
  public:
    // Returns the entry that this heartbeat repeats; null if there is none. `sequence` of the entry is still
    // that of the previous heartbeat, and the caller updates it. The cache owns the entry, which is valid
    // until the cache changes.
    [[nodiscard]] CachedReply* find(std::string_view heartbeat, const protocol::HeartbeatOutline& outline);
    // Stores the reply to a heartbeat. `machine` and `sequence` are the result of parsing it in full. If the
    // outline of the heartbeat differs from them, the machine's entry is removed instead.
    void put(std::string heartbeat, const std::string& machine, protocol::SequenceNumber sequence,
             std::string reply_body, double now);
    void forget(std::string_view machine);
    void clear() { by_machine_.clear(); }
    [[nodiscard]] std::size_t size() const { return by_machine_.size(); }

  private:
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
    };
    std::unordered_map<std::string, CachedReply, Hash, std::equal_to<>> by_machine_;
};

}  // namespace coralhitch::relay
