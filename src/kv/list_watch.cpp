#include "kv/list_watch.hpp"

#include <algorithm>
#include <utility>

namespace coralhitch::kv {

ListWatch::ListWatch(event_loop::Timers& timers, KvClient& kv, std::string prefix, Timing timing,
                     Callbacks callbacks)
    : timers_(timers),
      kv_(kv),
      prefix_(std::move(prefix)),
      retry_backoff_s_(timing.retry_backoff_s),
      callbacks_(std::move(callbacks)),
      watch_{timing.watch_wait_s, timing.watch_interval_s, 0, 0},
      confirm_{0, timing.confirm_interval_s, timing.confirm_timeout_s, 0} {}

void ListWatch::start(std::uint64_t revision, double listed_at) {
    watch_.revision = confirm_.revision = revision;
    complete_until_ = listed_at;
    read_changes(watch_);
    schedule_read(confirm_, confirm_.interval_s);
}

void ListWatch::schedule_read(Reader& reader, double delay_s) {
    timers_.after(delay_s, guarded_([this, &reader] { read_changes(reader); }));
}

void ListWatch::read_changes(Reader& reader) {
    double sent_at = timers_.now();
    auto on_watch = [this, &reader, sent_at](const WatchResult& result) {
        if (result.compacted()) return list_all(reader);
        if (!result.ok()) return schedule_read(reader, retry_backoff_s_);
        reader.revision = std::max(reader.revision, result.events.revision);
        schedule_read(reader, reader.interval_s);
        callbacks_.on_changes(result.events.events, std::min(watch_.revision, confirm_.revision));
        if (reader.wait_s <= 0) complete_until_ = std::max(complete_until_, std::optional(sent_at));
    };
    kv_.watch(prefix_, reader.revision, reader.wait_s, guarded_(std::move(on_watch)), reader.timeout_s);
}

// Lists all keys, which takes several requests. Changes after the revision of the first page are read by the
// next watch.
void ListWatch::list_all(Reader& reader) {
    double sent_at = timers_.now();
    kv_.list(prefix_, RequestPriority::write, guarded_([this, &reader, sent_at](const ListResult& result) {
                 if (!result.ok()) return schedule_read(reader, retry_backoff_s_);
                 reader.revision = std::max(reader.revision, result.revision);
                 schedule_read(reader, reader.interval_s);
                 callbacks_.on_listed(result);
                 complete_until_ = std::max(complete_until_, std::optional(sent_at));
             }));
}

}  // namespace coralhitch::kv
