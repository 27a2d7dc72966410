// Recognises heartbeats that repeat the last one of their machine, and keeps the reply to give again.
//
// Most heartbeats do: a worker sends one every few seconds, and its tasks change every few minutes. Parsing
// each of them took a leader more time than all its decisions.
//
// The whole text is kept and compared except for the digits of the sequence number: no hash, so no collisions
// to argue about. A heartbeat has some hundred bytes for each task, so 10,000 machines take a few megabytes.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/agent_api.hpp"

namespace coralhitch::relay {

struct CachedReply {
    std::string heartbeat;                                 // the text that was parsed in full
    std::size_t sequence_offset = 0, sequence_digits = 0;  // where the sequence number stands in it
    std::uint64_t sequence = 0;                            // of the last heartbeat with this content
    double parsed_at = 0;                                  // seconds of the injected clock
    std::string reply_body;                                // of the 200 that may be given again
};

class ReplyCache {
  public:
    // The entry that this heartbeat repeats, with `sequence` still that of the previous one, which the caller
    // updates; null if there is none. Owned by the cache, valid until the next change of it.
    [[nodiscard]] CachedReply* find(std::string_view heartbeat, const protocol::HeartbeatOutline& outline);
    // Stores the reply to a heartbeat that was parsed in full as this machine's with this sequence number. If
    // its outline says otherwise, the machine's entry is removed instead.
    void put(std::string heartbeat, const std::string& machine, std::uint64_t sequence,
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
