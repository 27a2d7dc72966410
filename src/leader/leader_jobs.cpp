// What the leader stores about jobs: progress, and that they are over.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "kv/keys.hpp"
#include "leader/leader.hpp"

namespace coralhitch::leader {
namespace keys = kv::keys;
using kv::RequestPriority;
using kv::TxnResult;
using protocol::JobState;

namespace {
constexpr double store_reports = 1.0 / 60;
constexpr double audit_leases = 4;
constexpr int ends_at_once = 4;             // transactions under way: a lost answer holds up its own only
constexpr std::size_t changes_per_end = 2;  // the final record is put, the live one dropped
constexpr double group_s = 0.2;    // of all changes the service allows, the most one transaction takes
constexpr double tidy_leases = 2;  // for which the end of a cancelled job may be put off
}  // namespace

// Ends come by the hundred: stored with each report, a walk over all jobs took a fifth of the processor's
// share while a thousand jobs were live.
void Leader::store_soon() {
    if (std::exchange(store_wanted_, true)) return;
    dependencies_.timers.after(dependencies_.settings.report_s * store_reports, guarded_([this] {
                                   store_wanted_ = false;
                                   store_progress();
                               }));
}

void Leader::store_progress() {
    if (!authority_.holds()) return;
    auto due = state_.jobs.unstored(now(), reconciliation_.may_place());
    dependencies_.metrics.set(metrics::Metric::leader_unstored_job_ends,
                              static_cast<double>(due.done.size()));
    dependencies_.metrics.set(metrics::Metric::leader_cancelled_jobs_to_remove,
                              static_cast<double>(due.cancelled.size()));
    store_ends(due.done, JobState::done);
    for (auto& id : due.progress) store_blocks(id, *state_.jobs.find(id));
    store_ends(due.cancelled, JobState::cancelled);
}

// An end that a user waits for costs two changes. Those that come while the last ones are under way go
// together in the next transactions, oldest first; what waits here has no deadline, while what waits in the
// client's queue is refused after a while and would begin anew, behind younger ones. The end of a cancelled
// job can wait: its live record gives its users the same answer, and every version takes it for what it is.
// It goes one transaction at a time with what no user waits for, unless that was put off for so long that the
// table would grow.
void Leader::store_ends(const std::vector<std::string>& ids, JobState state) {
    bool done = state == JobState::done;
    int at_once = done ? ends_at_once : 1;
    auto& under_way = done ? ends_under_way_ : tidying_;
    auto& settings = dependencies_.settings;
    auto most = std::min(static_cast<std::size_t>(settings.state_write_rps * group_s),
                         dependencies_.state.limits().txn_ops()) /
                changes_per_end;
    most = std::max<std::size_t>(1, most);
    for (std::size_t k = 0; k < ids.size(); k += most) {
        if (under_way >= at_once) {
            ends_left_ = true;
            return;
        }
        auto last = ids.begin() + static_cast<std::ptrdiff_t>(std::min(ids.size(), k + most));
        double waited = now() - state_.jobs.find(ids[k])->over_since;
        bool late = waited > settings.lease_s * tidy_leases;
        finish({ids.begin() + static_cast<std::ptrdiff_t>(k), last}, state,
               done || late ? RequestPriority::write : RequestPriority::background);
    }
}

void Leader::finish(const std::vector<std::string>& ids, JobState state, RequestPriority rank) {
    auto t = authority_.fenced_transaction();
    for (auto& id : ids) {
        auto& e = *state_.jobs.find(id);
        e.writing = true;
        t.conditions.push_back({keys::job(id), e.version});  // fails if it was cancelled meanwhile
        t.changes.push_back(
            {keys::final(id), protocol::stored(protocol::FinalRecord{state, e.spec->tasks}), 0});
        t.changes.push_back({keys::job(id), std::nullopt, 0});
    }
    ++(state == JobState::done ? ends_under_way_ : tidying_);
    dependencies_.state.txn(std::move(t), rank, guarded_([this, ids, state](TxnResult c) {
                                --(state == JobState::done ? ends_under_way_ : tidying_);
                                end_answered(ids, state, c);
                                bool all = c.status == TxnResult::Status::committed;
                                if (std::exchange(ends_left_, false) || !all) store_soon();
                            }));
}

// One job that was cancelled, or ended by a transaction whose answer was lost, holds up all that are in its
// transaction: only those that failed are looked at, the others go again at once without them.
void Leader::end_answered(const std::vector<std::string>& ids, JobState state, const TxnResult& c) {
    using S = TxnResult::Status;
    bool others = std::any_of(ids.begin(), ids.end(), [&](auto& id) { return c.failed_on(keys::job(id)); });
    for (auto& id : ids) {
        auto* e = state_.jobs.find(id);
        if (!e) continue;
        if (c.status == S::committed) {
            spdlog::debug("job {} is over after {} tasks, stored {:.2f} s later", id, e->done_count,
                          now() - e->over_since);
            ended(id, c.revision, state);
        } else if (c.failed_on(keys::job(id)) || c.status == S::unknown) {
            // Cancelled by some controller, or stored by a transaction whose answer was lost: read, then
            // decide. To write again without knowing costs the changes of the whole transaction.
            read_live(id);
        } else if (others) {
            e->writing = false;
        } else {
            stored_failed(id, c);
        }
    }
}
// The job's end is stored. What awaited it goes on at once: a short stage must not wait for the next report.
void Leader::ended(const std::string& id, std::uint64_t revision, JobState state) {
    bool awaited = state_.jobs.awaits().awaited(id);
    {
        std::lock_guard lock(state_.mutex);
        state_.cluster.stored(id);
        // Its progress means nothing any more, and is dropped when there is time.
        if (auto* e = state_.jobs.find(id))
            for (auto& [block, version] : e->blocks) keys_to_drop_.insert(keys::progress_of(id, block));
        state_.jobs.erase(id, revision);
        state_.jobs.ended(id, state, dependencies_.timers.unix_time());
    }
    if (state == JobState::cancelled) store_soon();  // the jobs before it may leave now
    if (awaited) plan_soon();
}

// Awaited jobs that are not live: only their final state says whether they were done. A key that is gone
// proves nothing, since the job may have been cancelled; with neither key the copy of the live jobs is
// behind.
void Leader::read_ends() {
    constexpr std::size_t at_once = 8;
    for (auto& id : state_.jobs.awaits().ends_unknown()) {
        if (reading_ends_.size() >= at_once) return;
        if (absent_ends_.contains(id) || !reading_ends_.insert(id).second) continue;
        dependencies_.state.get(
            keys::final(id), RequestPriority::write, guarded_([this, id](kv::GetResult f) {
                reading_ends_.erase(id);
                absent_ends_.insert(id);  // unless it is told below: the next tick asks again
                if (!f.entry) return read_ends();
                try {
                    auto state = protocol::parse_final_record(f.entry->value).state;
                    {
                        std::lock_guard lock(state_.mutex);
                        state_.jobs.ended(id, state, std::nullopt);
                    }
                    plan_soon();
                    if (state == JobState::cancelled) store_soon();
                } catch (const protocol::Malformed& x) {
                    spdlog::error("final record {}: {}", id, x.what());
                }
                read_ends();
            }));
    }
}

void Leader::store_blocks(const std::string& id, jobs::JobEntry& e) {
    e.writing = true;
    auto t = authority_.fenced_transaction();
    t.conditions.push_back({keys::job(id), e.version});
    std::set<std::uint32_t> tasks;
    std::set<std::string> blocks;
    auto& limits = dependencies_.state.limits();
    for (auto task : e.unstored) {
        auto b = state_.jobs.block_of(e, task, limits.value_bytes());
        if (!blocks.contains(b) && blocks.size() >= limits.txn_ops()) continue;
        blocks.insert(b);
        tasks.insert(task);
    }
    for (auto& b : blocks) {
        // A block is written whole. One whose answer was lost may be carried out after newer ones, and would
        // take out what they added, whose tasks the machines have been told to forget: it fails on the
        // version.
        auto known = e.blocks.find(b);
        auto key = keys::progress_of(id, b);
        t.conditions.push_back({key, known == e.blocks.end() ? 0 : known->second});
        t.changes.push_back({std::move(key), state_.jobs.block_value(e, b, limits.value_bytes()), 0});
    }
    dependencies_.state.txn(
        std::move(t), RequestPriority::write, guarded_([this, id, tasks, blocks](TxnResult c) {
            if (c.status != TxnResult::Status::committed) return stored_failed(id, c);
            std::lock_guard lock(state_.mutex);
            auto* e = state_.jobs.find(id);
            if (!e) return;
            e->writing = false;
            e->retry_at =
                now() + dependencies_.settings.report_s / 6;  // tasks that end together are stored together
            for (auto task : tasks) e->unstored.erase(task);
            for (auto& b : blocks) e->blocks[b] = c.revision;
            state_.cluster.stored(id, tasks);
        }));
}

// What the watch brings is all there is to know, as far as anyone can tell. A job that it lost would wait for
// ever, though its user is told that it is accepted: so what is stored is compared with the table now and
// then.
void Leader::audit() {
    if (auditing_ || !authority_.holds() ||
        now() - last_audit_ < dependencies_.settings.lease_s * audit_leases)
        return;
    auditing_ = true;
    state_.jobs.listing(true);
    last_audit_ = now();
    dependencies_.state.list(
        keys::jobs, RequestPriority::background, guarded_([this](kv::ListResult l) {
            auditing_ = false;
            state_.jobs.listing(false);
            if (!l.ok) return;
            std::size_t missed = 0, left = 0;
            std::set<std::string> stored;
            {
                std::lock_guard lock(state_.mutex);
                for (auto& e : l.entries) {
                    auto id = e.key.substr(keys::jobs.size());
                    if (!state_.jobs.knows(id, e.version)) {
                        ++missed;
                        take_job(id, e.version, e.value);
                    }
                    stored.insert(std::move(id));
                }
            }
            // Its end may be stored by a transaction of this leader whose answer was lost.
            for (auto& [id, e] : state_.jobs.all()) {
                if (stored.contains(id) || e.version > l.revision || e.writing) continue;
                ++left;
                e.writing = true;
                read_end(id);
            }
            if (missed + left == 0) return;
            spdlog::info("leader: {} stored jobs were not known, {} known ones are not stored", missed, left);
            plan_soon();
        }));
}

void Leader::stored_failed(const std::string& id, const TxnResult& c) {
    std::lock_guard lock(state_.mutex);
    auto* e = state_.jobs.find(id);
    if (!e) return;
    e->writing = false;
    // What was too large is written in smaller parts the next time; if it can't be, not without pause.
    bool rejected = c.status == TxnResult::Status::rejected;
    e->retry_at = now() + dependencies_.settings.report_s * (rejected ? 1.0 / 2 : 1.0 / 10);
    if (c.status != TxnResult::Status::conflict) return;
    auto progress = keys::progress_of(id, "");
    if (!c.failed_on(keys::job(id))) {
        // A write whose answer was lost was carried out. Of several blocks the next try tells the next.
        for (auto& key : c.failed)
            if (key.starts_with(progress)) {
                e->writing = true;
                return read_block(id, key.substr(progress.size()));
            }
        return;
    }
    read_live(id);
}
// What became of the live record, of which this leader does not know what it says by now.
void Leader::read_live(const std::string& id) {
    state_.jobs.find(id)->writing = true;
    dependencies_.state.get(keys::job(id), RequestPriority::write, guarded_([this, id](kv::GetResult f) {
                                std::lock_guard lock(state_.mutex);
                                auto* e = state_.jobs.find(id);
                                if (!e) return;
                                e->writing = false;
                                store_soon();
                                if (!f.ok) {
                                    e->retry_at = now() + dependencies_.settings.report_s / 10;
                                } else if (f.entry) {
                                    take_job(id, f.entry->version, f.entry->value);
                                } else {
                                    e->writing = true;
                                    read_end(id);
                                }
                            }));
}
void Leader::read_block(const std::string& id, const std::string& block) {
    dependencies_.state.get(keys::progress_of(id, block), RequestPriority::write,
                            guarded_([this, id, block](kv::GetResult f) {
                                auto* e = state_.jobs.find(id);
                                if (!e) return;
                                e->writing = false;
                                if (f.ok && f.entry)
                                    e->blocks[block] = f.entry->version;
                                else if (f.ok)
                                    e->blocks.erase(block);
                            }));
}
// Only a leader removes the key, and only this one leads: a transaction whose answer was lost was executed.
// Which of them, the final record says: the job may have been done, or cancelled in between.
void Leader::read_end(const std::string& id) {
    dependencies_.state.get(keys::final(id), RequestPriority::write, guarded_([this, id](kv::GetResult f) {
                                auto* e = state_.jobs.find(id);
                                if (!e) return;
                                e->writing = false;
                                e->retry_at = now() + dependencies_.settings.report_s / 10;
                                if (!f.entry) return;
                                try {
                                    ended(id, e->version, protocol::parse_final_record(f.entry->value).state);
                                } catch (const protocol::Malformed& x) {
                                    spdlog::error("final record {}: {}", id, x.what());
                                }
                            }));
}

}  // namespace coralhitch::leader
