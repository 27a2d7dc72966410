#include "kv/kv_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace coralhitch::kv {
using protocol::Malformed;

bool TxnResult::failed_on(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
}

namespace {
// Other controllers may still be spending their share while leadership moves, hence a little less than all.
constexpr double budget_use = 0.9;
// Calls that can't go out in time are refused, so that a queue can't grow without bound.
constexpr double queue_report_periods = 1.0;
// What a user waits for may spend this part of the user's patience in the queue; the rest is for the answer.
constexpr double queue_patience = 0.5;
// The leader's parts. It stores the end of each job, two changes, besides its part of what users ask for:
// with half of the changes it ran out at ten jobs of one task a second, while the others used a third of
// theirs.
constexpr double leader_requests = 0.5, leader_changes = 0.6;
constexpr double short_part = 0.5;
constexpr double look_part = 0.5;  // of the requests, for single reads that answer questions
}  // namespace

KvClient::KvClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& s)
    : timers_(timers), http_(http), settings_(s), requests_(1, 1), writes_(1, 1), looks_(1, 1), limits_(s) {
    set_leading(false);
}

Limits::Limits(const config::Settings& s)
    : promised_ops_(s.txn_ops),
      txn_ops_(s.txn_ops),
      value_bytes_(static_cast<std::size_t>(s.safe_value_kb * 1024)) {}
void Limits::refused(const protocol::Txn& t) {
    if (t.changes.size() > least_ops) {
        txn_ops_ = std::max(least_ops, std::min(txn_ops_, t.changes.size() / 2));
        return;
    }
    std::size_t largest = 0;
    for (auto& c : t.changes) largest = std::max(largest, c.value ? c.value->size() : 0);
    value_bytes_ = std::max(least_bytes, std::min(value_bytes_, largest * 3 / 4));
    // The splitting found the value; the number of changes may have been right all the time.
    txn_ops_ = promised_ops_;
}

void KvClient::set_leading(bool leading) {
    auto part = [&](double leaders) {
        return settings_.nodes <= 1 ? 1.0 : leading ? leaders : (1 - leaders) / (settings_.nodes - 1);
    };
    double requests = settings_.state_rps * part(leader_requests) * budget_use;
    double writes = settings_.state_write_rps * part(leader_changes) * budget_use;
    looks_.set_rate(requests * look_part, std::max(1.0, requests * look_part));
    changes_per_s_ = writes;
    requests_.set_rate(requests, std::max(1.0, requests));
    writes_.set_rate(writes, std::max(1.0, writes));
}

double KvClient::timeout() const {
    return settings_.report_s / 2;
}

bool KvClient::short_of_changes() {
    return !writes_.has(timers_.now(), std::max(1.0, changes_per_s_ * short_part));
}
double KvClient::patience(RequestPriority rank) const {
    double own = settings_.report_s * queue_report_periods;
    if (rank == RequestPriority::user || rank == RequestPriority::accept)
        return std::min(own, submission_timeout_s * queue_patience);
    if (rank == RequestPriority::read) return std::min(own, read_timeout_s * queue_patience);
    return own;
}
// An acceptance behind more changes than can be sent in time. Kept in the queue until then, it was refused
// when its user had just given up, and asked for again: time-outs instead of refusals, and no end of them.
bool KvClient::hopeless(RequestPriority rank, const Call& call) {
    if (rank != RequestPriority::accept) return false;
    double ahead = call.writes;
    for (auto r : {RequestPriority::user, RequestPriority::accept})
        for (auto& c : queues_[static_cast<std::size_t>(r)]) ahead += c.writes;
    return writes_.seconds_to_drain(timers_.now(), ahead) > patience(rank);
}
void KvClient::refuse(RequestPriority rank, http::Result result) {
    ++counts_[static_cast<std::size_t>(rank)].refused;
    // Was never sent. Told later, since this may run inside somebody else's call.
    timers_.after(0, [result = std::move(result)] { result(http::Response{429, "{}"}); });
}

void KvClient::submit(RequestPriority rank, Call call) {
    call.queued = timers_.now();
    call.deadline = call.queued + patience(rank);
    if (rank == RequestPriority::lease) return send(std::move(call));
    if (hopeless(rank, call)) return refuse(rank, std::move(call.result));
    queues_[static_cast<std::size_t>(rank)].push_back(std::move(call));
    pump();
}

void KvClient::pump() {
    double now = timers_.now(), wait = -1;
    bool changes_wanted = false;  // by a call of a higher rank
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        auto& q = queues_[rank];
        auto& counts = counts_[rank];
        while (!q.empty()) {
            auto& c = q.front();
            if (c.deadline < now) {
                auto result = std::move(c.result);
                q.pop_front();
                refuse(static_cast<RequestPriority>(rank), std::move(result));
                continue;
            }
            // A transaction with many changes waits until there is room for all: if those of lower ranks took
            // what gathers meanwhile, it would wait for ever.
            if (c.writes > 0 && changes_wanted) break;
            bool look = static_cast<RequestPriority>(rank) == RequestPriority::read;
            if (!requests_.has(now) || !writes_.has(now, c.writes) || (look && !looks_.has(now))) {
                changes_wanted = changes_wanted || c.writes > 0;
                double w = std::max(requests_.seconds_until_available(now),
                                    writes_.seconds_until_available(now, c.writes));
                if (look) w = std::max(w, looks_.seconds_until_available(now));
                wait = wait < 0 ? w : std::min(wait, w);
                break;
            }
            if (look) looks_.take(now);
            auto call = std::move(c);
            q.pop_front();
            ++counts.sent;
            counts.waited_s += now - call.queued;
            counts.longest_wait_s = std::max(counts.longest_wait_s, now - call.queued);
            send(std::move(call));
        }
    }
    if (wait >= 0 && !pump_armed_) {
        pump_armed_ = true;
        timers_.after(std::max(wait, 0.005), [this] {
            pump_armed_ = false;
            pump();
        });
    }
}

void KvClient::send(Call call) {
    double now = timers_.now();
    requests_.take(now);
    if (call.writes > 0) writes_.take(now, call.writes);
    http_.send(settings_.state_addr, std::move(call.request), call.timeout,
               [this, result = std::move(call.result)](std::optional<http::Response> r) {
                   bool ok = r && r->status < 500;
                   answering_ = ok;
                   if (ok) last_answer_ = timers_.now();
                   result(std::move(r));
               });
}

void KvClient::get(const std::string& key, RequestPriority rank, std::function<void(GetResult)> done) {
    submit(
        rank,
        {{"GET", protocol::paths::kv(key), {}}, timeout(), 0, 0, [done](std::optional<http::Response> r) {
             GetResult f;
             try {
                 if (r && r->status == 200) f = {true, protocol::parse_entry(r->body)};
                 if (r && r->status == 404) {
                     protocol::parse_revision(r->body);  // a 404 of the service itself, not of a wrong path
                     f.ok = true;
                 }
             } catch (const Malformed&) {
                 f = {};
             }
             done(std::move(f));
         }});
}

void KvClient::list(const std::string& prefix, RequestPriority rank, std::function<void(ListResult)> done) {
    list_page(prefix, rank, std::make_shared<ListResult>(), "", std::move(done));
}
void KvClient::list_page(std::string prefix, RequestPriority rank, std::shared_ptr<ListResult> acc,
                         std::string after, std::function<void(ListResult)> done) {
    constexpr int page = 500;
    auto target = protocol::paths::kv_list(prefix, after, page);
    submit(rank, {{"GET", target, {}}, timeout() * 2, 0, 0, [=, this](std::optional<http::Response> r) {
                      try {
                          if (!r || r->status != 200) return done({});
                          auto p = protocol::parse_entries(r->body);
                          if (acc->revision == 0) acc->revision = p.revision;
                          for (auto& e : p.entries) acc->entries.push_back(std::move(e));
                          if (p.more && !acc->entries.empty()) {
                              auto last = acc->entries.back().key;
                              return list_page(prefix, rank, acc, last, done);
                          }
                          acc->ok = true;
                          done(std::move(*acc));
                      } catch (const Malformed&) {
                          done({});
                      }
                  }});
}

void KvClient::txn(protocol::Txn t, RequestPriority rank, std::function<void(TxnResult)> done) {
    double writes = static_cast<double>(t.changes.size());
    auto body = protocol::txn_request(t);
    submit(rank, {{"POST", std::string(protocol::paths::txn), std::move(body)},
                  timeout(),
                  0,
                  writes,
                  [this, done, t = std::move(t)](std::optional<http::Response> r) {
                      bool sent = !r || r->status != 429;
                      for (auto& change : t.changes)
                          if (sent) ++changes_[change.key.substr(0, change.key.find('/'))];
                      TxnResult c;
                      try {
                          if (!r) {
                              c.status = TxnResult::Status::unknown;
                          } else if (r->status == 200) {
                              c = {TxnResult::Status::committed, protocol::parse_revision(r->body), {}};
                          } else if (r->status == 409) {
                              c = {TxnResult::Status::conflict, 0, protocol::parse_conflict(r->body).failed};
                          } else {
                              c.status = TxnResult::Status::refused;
                              // A put under a lease that is over gets 400, too.
                              bool leased = std::any_of(t.changes.begin(), t.changes.end(),
                                                        [](auto& change) { return change.lease != 0; });
                              if (r->status == 400 && !leased) {
                                  c.status = TxnResult::Status::rejected;
                                  ++rejections_;
                                  limits_.refused(t);
                                  spdlog::error(
                                      "state service: a transaction of {} changes, {} first, was refused as "
                                      "malformed or too large; from now on at most {} changes, {} bytes a "
                                      "value",
                                      t.changes.size(), t.changes.empty() ? "none" : t.changes[0].key,
                                      limits_.txn_ops(), limits_.value_bytes());
                              }
                          }
                      } catch (const Malformed&) {
                          c.status = TxnResult::Status::unknown;
                      }
                      done(std::move(c));
                  }});
}

void KvClient::watch(const std::string& prefix, std::uint64_t since, double wait_s,
                     std::function<void(WatchResult)> done, std::optional<double> patience_s) {
    auto wait_ms = static_cast<std::uint64_t>(wait_s * 1000);
    submit(RequestPriority::lease,
           {{"GET", protocol::paths::watch(prefix, since, wait_ms), {}},
            wait_s > 0 ? wait_s + timeout() * 2 : patience_s.value_or(timeout() / 2),
            0,
            0,
            [done](std::optional<http::Response> r) {
                WatchResult w;
                try {
                    if (r && r->status == 200)
                        w = {WatchResult::Status::ok, protocol::parse_events(r->body)};
                    else if (r && r->status == 410)
                        w.status = WatchResult::Status::too_old;
                } catch (const Malformed&) {
                    w = {};
                }
                done(std::move(w));
            }});
}

void KvClient::create_lease(double ttl_s, std::function<void(LeaseResult)> done) {
    double sent = timers_.now();
    submit(RequestPriority::lease,
           {{"POST", std::string(protocol::paths::leases),
             protocol::lease_request(static_cast<std::uint64_t>(ttl_s * 1000))},
            timeout(),
            0,
            0,
            [done, sent](std::optional<http::Response> r) {
                LeaseResult a{LeaseResult::Status::failed, 0, sent};
                try {
                    if (r && r->status == 200)
                        a = {LeaseResult::Status::ok, protocol::parse_lease(r->body), sent};
                } catch (const Malformed&) {
                }
                done(a);
            }});
}
void KvClient::renew_lease(std::uint64_t id, double timeout_s, std::function<void(LeaseResult)> done) {
    double sent = timers_.now();
    submit(RequestPriority::lease, {{"POST", protocol::paths::lease_renew(id), {}},
                                    timeout_s,
                                    0,
                                    0,
                                    [done, sent, id](std::optional<http::Response> r) {
                                        LeaseResult a{LeaseResult::Status::failed, id, sent};
                                        if (r && r->status == 200) a.status = LeaseResult::Status::ok;
                                        if (r && r->status == 404) a.status = LeaseResult::Status::gone;
                                        done(a);
                                    }});
}
void KvClient::end_lease(std::uint64_t id, std::function<void(bool)> done) {
    submit(RequestPriority::lease,
           {{"DELETE", protocol::paths::lease(id), {}},
            timeout(),
            0,
            0,
            [done](std::optional<http::Response> r) { done(r && (r->status < 300 || r->status == 404)); }});
}

}  // namespace coralhitch::kv
