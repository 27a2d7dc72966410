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
}  // namespace

// Ends come by the hundred: stored with each report, a walk over all jobs took a fifth of the processor's
// share while a thousand jobs were live.
void Leader::store_soon() {
    if (std::exchange(store_wanted_, true)) return;
    c_.timers.after(c_.settings.report_s * store_reports, guarded([this] {
                        store_wanted_ = false;
                        store_progress();
                    }));
}

void Leader::store_progress() {
    if (!authority()) return;
    bool settled = all_settled();
    std::vector<std::pair<std::string, JobState>> over;
    std::vector<std::string> dirty;
    for (auto& [id, e] : table_.all()) {
        if (e.writing || now() < e.retry_at) continue;
        if (e.cancelled) {
            // Its key stays until its tasks are proven gone: a later leader must know to stop them.
            if (e.active.empty() && e.strays == 0 && settled) over.emplace_back(id, JobState::cancelled);
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
    for (auto b : e.blocks) {
        auto key = keys::progress_of(id, b);
        if (t.changes.size() < c_.settings.txn_ops)
            t.changes.push_back({key, std::nullopt, 0});
        else
            keys_to_drop_.insert(key);
    }
    c_.state.txn(std::move(t), Rank::write, guarded([this, id](Committed c) {
                     if (c.status != Committed::Status::committed) return stored_failed(id, c);
                     std::lock_guard lock(mutex_);
                     if (auto* e = table_.find(id))
                         spdlog::debug("job {} is over after {} tasks", id, e->done_count);
                     picture_.stored(id);
                     table_.erase(id, c.revision);
                 }));
}

void Leader::store_blocks(const std::string& id, jobs::Entry& e) {
    e.writing = true;
    auto t = leader_txn();
    t.conditions.push_back({keys::job(id), e.version});
    std::set<std::uint32_t> tasks;
    std::set<std::size_t> blocks;
    for (auto task : e.unstored) {
        auto b = task / table_.block_tasks();
        if (!blocks.contains(b) && blocks.size() >= c_.settings.txn_ops) continue;
        blocks.insert(b);
        tasks.insert(task);
    }
    for (auto b : blocks) t.changes.push_back({keys::progress_of(id, b), table_.block_value(e, b), 0});
    c_.state.txn(std::move(t), Rank::write, guarded([this, id, tasks, blocks](Committed c) {
                     if (c.status != Committed::Status::committed) return stored_failed(id, c);
                     std::lock_guard lock(mutex_);
                     auto* e = table_.find(id);
                     if (!e) return;
                     e->writing = false;
                     e->retry_at =
                         now() + c_.settings.report_s / 6;  // tasks that end together are stored together
                     for (auto task : tasks) e->unstored.erase(task);
                     e->blocks.insert(blocks.begin(), blocks.end());
                     picture_.stored(id, tasks);
                 }));
}

void Leader::stored_failed(const std::string& id, const Committed& c) {
    std::lock_guard lock(mutex_);
    auto* e = table_.find(id);
    if (!e) return;
    e->writing = false;
    e->retry_at = now() + c_.settings.report_s / 10;
    if (c.status != Committed::Status::conflict || !c.failed_on(keys::job(id))) return;
    // Cancelled by some controller, or stored by a transaction whose answer was lost: read, then decide.
    e->writing = true;
    c_.state.get(keys::job(id), Rank::write, guarded([this, id](state::Found f) {
                     std::lock_guard lock(mutex_);
                     auto* e = table_.find(id);
                     if (!e) return;
                     e->writing = false;
                     if (!f.ok) {
                         e->retry_at = now() + c_.settings.report_s / 10;
                     } else if (f.entry) {
                         take_job(id, f.entry->version, f.entry->value);
                     } else {
                         // Only a leader removes the key, and only this one leads: the lost transaction was
                         // executed.
                         picture_.stored(id);
                         table_.erase(id, e->version);
                     }
                 }));
}

}  // namespace coralhitch::daemon
