// What the leader stores about jobs: progress, and that they are over.
#include <spdlog/spdlog.h>

#include "daemon/leader.hpp"
#include "state/keys.hpp"

namespace coralhitch::daemon {
namespace keys = state::keys;
using state::Committed;
using state::Rank;
using wire::JobState;

namespace {
constexpr double store_reports = 1.0 / 60;
constexpr double audit_leases = 4;
}  // namespace

// Ends come by the hundred: stored with each report, a walk over all jobs took a fifth of the processor's
// share while a thousand jobs were live.
void Leader::store_soon() {
    if (std::exchange(store_wanted_, true)) return;
    dependencies_.timers.after(dependencies_.settings.report_s * store_reports, guarded([this] {
                                   store_wanted_ = false;
                                   store_progress();
                               }));
}

void Leader::store_progress() {
    if (!authority()) return;
    bool reconciled = reconciliation_.may_place();
    std::vector<std::pair<std::string, JobState>> over;
    std::vector<std::string> dirty;
    for (auto& [id, e] : table_.all()) {
        if (e.writing || now() < e.retry_at) continue;
        if (e.cancelled) {
            // Its key stays until its tasks are proven gone: a later leader must know to stop them.
            // So do those of the jobs behind it go first: what is said about them then follows from live
            // jobs.
            if (e.active.empty() && e.strays == 0 && reconciled && !table_.awaits().awaited(id))
                over.emplace_back(id, JobState::cancelled);
        } else if (e.all_done()) {
            over.emplace_back(id, JobState::done);
        } else if (!e.unstored.empty()) {
            dirty.push_back(id);
        }
    }
    for (auto& [id, state] : over) finish(id, *table_.find(id), state);
    for (auto& id : dirty) store_blocks(id, *table_.find(id));
}

void Leader::finish(const std::string& id, jobs::Entry& e, JobState state) {
    e.writing = true;
    auto t = leader_txn();
    t.conditions.push_back({keys::job(id), e.version});  // fails if it was cancelled meanwhile
    t.changes.push_back({keys::final(id), wire::stored(wire::FinalRecord{state, e.spec->tasks}), 0});
    t.changes.push_back({keys::job(id), std::nullopt, 0});
    for (auto& [b, version] : e.blocks) {
        auto key = keys::progress_of(id, b);
        if (t.changes.size() < dependencies_.state.limits().txn_ops())
            t.changes.push_back({key, std::nullopt, 0});
        else
            keys_to_drop_.insert(key);
    }
    dependencies_.state.txn(std::move(t), Rank::write, guarded([this, id, state](Committed c) {
                                if (c.status != Committed::Status::committed) return stored_failed(id, c);
                                if (auto* e = table_.find(id))
                                    spdlog::debug("job {} is over after {} tasks", id, e->done_count);
                                ended(id, c.revision, state);
                            }));
}
// The job's end is stored. What awaited it goes on at once: a short stage must not wait for the next report.
void Leader::ended(const std::string& id, std::uint64_t revision, JobState state) {
    bool awaited = table_.awaits().awaited(id);
    {
        std::lock_guard lock(mutex_);
        cluster_state_.stored(id);
        table_.erase(id, revision);
        table_.ended(id, state, dependencies_.timers.unix_time());
    }
    if (state == JobState::cancelled) store_soon();  // the jobs before it may leave now
    if (awaited) plan_soon();
}

// Awaited jobs that are not live: only their final state says whether they were done. A key that is gone
// proves nothing, since the job may have been cancelled; with neither key the copy of the live jobs is
// behind.
void Leader::read_ends() {
    constexpr std::size_t at_once = 8;
    for (auto& id : table_.awaits().ends_unknown()) {
        if (reading_ends_.size() >= at_once) return;
        if (absent_ends_.contains(id) || !reading_ends_.insert(id).second) continue;
        dependencies_.state.get(
            keys::final(id), Rank::write, guarded([this, id](state::Found f) {
                reading_ends_.erase(id);
                absent_ends_.insert(id);  // unless it is told below: the next tick asks again
                if (!f.entry) return read_ends();
                try {
                    auto state = wire::parse_final_record(f.entry->value).state;
                    {
                        std::lock_guard lock(mutex_);
                        table_.ended(id, state, std::nullopt);
                    }
                    plan_soon();
                    if (state == JobState::cancelled) store_soon();
                } catch (const wire::Malformed& x) {
                    spdlog::error("final record {}: {}", id, x.what());
                }
                read_ends();
            }));
    }
}

void Leader::store_blocks(const std::string& id, jobs::Entry& e) {
    e.writing = true;
    auto t = leader_txn();
    t.conditions.push_back({keys::job(id), e.version});
    std::set<std::uint32_t> tasks;
    std::set<std::string> blocks;
    auto& limits = dependencies_.state.limits();
    for (auto task : e.unstored) {
        auto b = table_.block_of(e, task, limits.value_bytes());
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
        t.changes.push_back({std::move(key), table_.block_value(e, b, limits.value_bytes()), 0});
    }
    dependencies_.state.txn(std::move(t), Rank::write, guarded([this, id, tasks, blocks](Committed c) {
                                if (c.status != Committed::Status::committed) return stored_failed(id, c);
                                std::lock_guard lock(mutex_);
                                auto* e = table_.find(id);
                                if (!e) return;
                                e->writing = false;
                                e->retry_at = now() + dependencies_.settings.report_s /
                                                          6;  // tasks that end together are stored together
                                for (auto task : tasks) e->unstored.erase(task);
                                for (auto& b : blocks) e->blocks[b] = c.revision;
                                cluster_state_.stored(id, tasks);
                            }));
}

// What the watch brings is all there is to know, as far as anyone can tell. A job that it lost would wait for
// ever, though its user is told that it is accepted: so what is stored is compared with the table now and
// then.
void Leader::audit() {
    if (auditing_ || !authority() || now() - last_audit_ < dependencies_.settings.lease_s * audit_leases)
        return;
    auditing_ = true;
    table_.listing(true);
    last_audit_ = now();
    dependencies_.state.list(
        keys::jobs, Rank::background, guarded([this](state::Listed l) {
            auditing_ = false;
            table_.listing(false);
            if (!l.ok) return;
            std::size_t missed = 0, left = 0;
            std::set<std::string> stored;
            {
                std::lock_guard lock(mutex_);
                for (auto& e : l.entries) {
                    auto id = e.key.substr(keys::jobs.size());
                    if (!table_.knows(id, e.version)) {
                        ++missed;
                        take_job(id, e.version, e.value);
                    }
                    stored.insert(std::move(id));
                }
            }
            // Its end may be stored by a transaction of this leader whose answer was lost.
            for (auto& [id, e] : table_.all()) {
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

void Leader::stored_failed(const std::string& id, const Committed& c) {
    std::lock_guard lock(mutex_);
    auto* e = table_.find(id);
    if (!e) return;
    e->writing = false;
    // What was too large is written in smaller parts the next time; if it can't be, not without pause.
    bool rejected = c.status == Committed::Status::rejected;
    e->retry_at = now() + dependencies_.settings.report_s * (rejected ? 1.0 / 2 : 1.0 / 10);
    if (c.status != Committed::Status::conflict) return;
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
    // Cancelled by some controller, or stored by a transaction whose answer was lost: read, then decide.
    e->writing = true;
    dependencies_.state.get(keys::job(id), Rank::write, guarded([this, id](state::Found f) {
                                std::lock_guard lock(mutex_);
                                auto* e = table_.find(id);
                                if (!e) return;
                                e->writing = false;
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
    dependencies_.state.get(keys::progress_of(id, block), Rank::write,
                            guarded([this, id, block](state::Found f) {
                                auto* e = table_.find(id);
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
    dependencies_.state.get(keys::final(id), Rank::write, guarded([this, id](state::Found f) {
                                auto* e = table_.find(id);
                                if (!e) return;
                                e->writing = false;
                                e->retry_at = now() + dependencies_.settings.report_s / 10;
                                if (!f.entry) return;
                                try {
                                    ended(id, e->version, wire::parse_final_record(f.entry->value).state);
                                } catch (const wire::Malformed& x) {
                                    spdlog::error("final record {}: {}", id, x.what());
                                }
                            }));
}

}  // namespace coralhitch::daemon
