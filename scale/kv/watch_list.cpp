#include "scale/kv/watch_list.hpp"

#include <algorithm>

#include "scale/protocol/kv_messages.hpp"

namespace coralhitch::scale {
namespace {
constexpr std::size_t max_events = 10000;  // set by the protocol
}  // namespace

void WatchList::append(protocol::Event event) {
    events_.push_back(std::move(event));
    while (events_.size() > max_events) events_.pop_front();
}

bool WatchList::has_discarded_since(std::uint64_t version) const {
    return events_.size() == max_events && version + 1 < events_.front().version;
}

std::vector<const protocol::Event*> WatchList::events_for(const Watch& watch) const {
    std::vector<const protocol::Event*> events;
    auto it = std::upper_bound(
        events_.begin(), events_.end(), watch.since,
        [](std::uint64_t since, const protocol::Event& event) { return since < event.version; });
    for (; it != events_.end(); ++it)
        if (it->key.starts_with(watch.prefix)) events.push_back(&*it);
    return events;
}

void WatchList::answer_due(double now, std::uint64_t revision) {
    for (auto it = watches_.begin(); it != watches_.end();) {
        auto events = events_for(*it);
        if (events.empty() && now < it->deadline) {
            it->since = revision;  // no event is examined twice for a watch
            ++it;
            continue;
        }
        answer_(it->reply, {200, messages::events_body(events, revision)});
        it = watches_.erase(it);
    }
}

}  // namespace coralhitch::scale
