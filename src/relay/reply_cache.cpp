#include "relay/reply_cache.hpp"

namespace coralhitch::relay {

CachedReply* ReplyCache::find(std::string_view body, const protocol::HeartbeatOutline& o) {
    auto it = by_machine_.find(o.machine);
    if (it == by_machine_.end()) return nullptr;
    auto& r = it->second;
    std::string_view old = r.body;
    // A repetition has a higher sequence: an equal or lower one is a message that came late.
    bool same = r.at == o.at && o.sequence > r.sequence && old.substr(0, r.at) == body.substr(0, o.at) &&
                old.substr(r.at + r.digits) == body.substr(o.at + o.digits);
    return same ? &r : nullptr;
}
void ReplyCache::put(std::string body, const std::string& machine, std::uint64_t sequence, std::string answer,
                     double now) {
    auto o = protocol::outline_heartbeat(body);
    if (!o || o->machine != machine || o->sequence != sequence) return forget(machine);
    CachedReply r{{}, o->at, o->digits, sequence, now, std::move(answer)};
    r.body = std::move(body);
    by_machine_.insert_or_assign(machine, std::move(r));
}
void ReplyCache::forget(std::string_view machine) {
    if (auto it = by_machine_.find(machine); it != by_machine_.end()) by_machine_.erase(it);
}

}  // namespace coralhitch::relay
