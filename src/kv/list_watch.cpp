#include "kv/list_watch.hpp"

#include <algorithm>
#include <utility>

namespace coralhitch::kv {

ListWatch::ListWatch(event_loop::Timers& timers, KvClient& state, std::string prefix, Pace pace,
                     Events events)
    : timers_(timers),
      state_(state),
      prefix_(std::move(prefix)),
      retry_s_(pace.retry_s),
      events_(std::move(events)),
      watch_{pace.wait_s, pace.gap_s, 0, 0},
      confirm_{0, pace.confirm_s, pace.patience_s, 0} {}

void ListWatch::start(std::uint64_t revision, double listed_at) {
    watch_.revision = confirm_.revision = revision;
    complete_at_ = listed_at;
    read(watch_);
    later(confirm_, confirm_.pause_s);
}
void ListWatch::later(Reader& r, double pause_s) {
    timers_.after(pause_s, guarded_([this, &r] { read(r); }));
}

void ListWatch::read(Reader& r) {
    double sent = timers_.now();
    state_.watch(prefix_, r.revision, r.wait_s, guarded_([this, &r, sent](WatchResult w) {
                     if (w.status == WatchResult::Status::too_old) return list(r);
                     if (w.status != WatchResult::Status::ok) return later(r, retry_s_);
                     r.revision = std::max(r.revision, w.events.revision);
                     later(r, r.pause_s);
                     events_.changed(w.events.events, std::min(watch_.revision, confirm_.revision));
                     if (r.wait_s <= 0) complete_at_ = std::max(complete_at_, sent);
                 }),
                 r.patience_s);
}

// Taken in several requests; the first says from which revision on changes are still to be read.
void ListWatch::list(Reader& r) {
    double sent = timers_.now();
    state_.list(prefix_, RequestPriority::write, guarded_([this, &r, sent](ListResult l) {
                    if (!l.ok) return later(r, retry_s_);
                    r.revision = std::max(r.revision, l.revision);
                    later(r, r.pause_s);
                    events_.listed(l);
                    complete_at_ = std::max(complete_at_, sent);
                }));
}

}  // namespace coralhitch::kv
