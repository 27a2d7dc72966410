#include "relay/reply_cache.hpp"

namespace coralhitch::relay {

CachedReply* ReplyCache::find(std::string_view heartbeat, const protocol::HeartbeatOutline& outline) {
    auto it = by_machine_.find(outline.machine);
    if (it == by_machine_.end()) return nullptr;
    auto& cached = it->second;
    std::string_view previous = cached.heartbeat;
    // A repetition has a higher sequence number. A message with an equal or lower number arrived late.
    bool repeats =
        cached.sequence_offset == outline.sequence_offset && outline.sequence > cached.sequence &&
        previous.substr(0, cached.sequence_offset) == heartbeat.substr(0, outline.sequence_offset) &&
        previous.substr(cached.sequence_offset + cached.sequence_digits) ==
            heartbeat.substr(outline.sequence_offset + outline.sequence_digits);
    return repeats ? &cached : nullptr;
}

void ReplyCache::put(std::string heartbeat, const std::string& machine, protocol::SequenceNumber sequence,
                     std::string reply_body, double now) {
    auto outline = protocol::outline_heartbeat(heartbeat);
    if (!outline || outline->machine != machine || outline->sequence != sequence) return forget(machine);
    CachedReply cached{{},  outline->sequence_offset, outline->sequence_digits, sequence,
                       now, std::move(reply_body)};
    cached.heartbeat = std::move(heartbeat);  // moved last, because the outline points into it
    by_machine_.insert_or_assign(machine, std::move(cached));
}

void ReplyCache::forget(std::string_view machine) {
    if (auto it = by_machine_.find(machine); it != by_machine_.end()) by_machine_.erase(it);
}

}  // namespace coralhitch::relay
