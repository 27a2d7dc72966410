// Reports that repeat the last one of their machine. Most do: a worker reports every few seconds, and its
// tasks change every few minutes. To read each of them took a leader more time than all it decided.
//
// The whole text is kept and compared, but for the digits of the sequence: no hash, so no collisions to
// argue about. A report has some hundred bytes for each task, so 10,000 machines take a few megabytes.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/protocol.hpp"

namespace coralhitch::relay {

struct CachedReply {
    std::string body;
    std::size_t at = 0, digits = 0;  // of the sequence's digits
    std::uint64_t sequence = 0;      // of the last report that said this
    double since = 0;                // when it was read in full, seconds of the injected clock
    std::string answer;              // body of the 200 that may be given again
};

class ReplyCache {
  public:
    // The entry that this report repeats, with `sequence` still that of the report before; null if none.
    CachedReply* find(std::string_view body, const protocol::HeartbeatOutline& outline);
    // Of a report that was read in full as this machine's with this sequence. What its outline tells
    // otherwise is not remembered.
    void put(std::string body, const std::string& machine, std::uint64_t sequence, std::string answer,
             double now);
    void forget(std::string_view machine);
    void clear() { by_machine_.clear(); }
    std::size_t size() const { return by_machine_.size(); }

  private:
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
    };
    std::unordered_map<std::string, CachedReply, Hash, std::equal_to<>> by_machine_;
};

}  // namespace coralhitch::relay
