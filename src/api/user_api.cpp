#include "api/user_api.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>

#include "kv/keys.hpp"
#include "scheduler/scheduler.hpp"

namespace coralhitch::api {
namespace keys = kv::keys;
using protocol::JobState;

namespace {
http::Response later() {
    return {503, protocol::error_body("try again"), "application/json", 1};
}
// More than can be stored. A job's users are asked to come back when there may be room, at least a second
// later.
http::Response put_off(double wait_s) {
    return {503, protocol::error_body("too many submissions"), "application/json", std::max(1.0, wait_s)};
}
http::Response status(int code, const protocol::JobStatus& s) {
    return {code, protocol::job_status(s)};
}
constexpr int cancel_tries = 4, submit_tries = 4, look_up_tries = 4;
constexpr std::size_t finals_per_mb = 500;  // cached final states for each MB of memory that is granted
}  // namespace

std::size_t max_dependencies(std::size_t txn_ops) {
    constexpr std::size_t conditions_per_op = 4, own = 2;
    return txn_ops * conditions_per_op - own;
}

Verdict judge(const protocol::Job& job, const std::vector<protocol::MachineType>& types,
              const config::Settings& settings) {
    auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                             [&](auto& t) { return t.name == job.team; });
    if (team == settings.teams.end()) return {false, "unknown team"};
    bool fits = std::any_of(types.begin(), types.end(), [&](auto& t) {
        return t.room.fits(job.request) && std::any_of(t.zones.begin(), t.zones.end(), [&](auto& z) {
                   return scheduler::type_allowed(job, t.name, z, false);
               });
    });
    if (!fits) return {false, "a task fits no allowed machine type"};
    double at_once = job.kind == protocol::JobKind::array ? 1 : static_cast<double>(job.tasks);
    if (!scheduler::team_allows(*team, {}, job.request.times(at_once)))
        return {false, "more than the team's limit"};
    return {};
}

UserApi::UserApi(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
                 ClusterQueries& around)
    : timers_(timers),
      state_(state),
      settings_(settings),
      cluster_(around),
      live_(timers, state, settings,
            [this](const std::string& id, const std::string& record) {
                try {
                    keep_final(id, protocol::parse_final_record(record));
                } catch (const protocol::Malformed& m) {
                    spdlog::error("final record {}: {}", id, m.what());
                }
            }),
      admission_(settings) {}

// With all of them forgotten at once, each was read again by everybody who still asked.
void UserApi::keep_final(const std::string& id, const protocol::FinalRecord& record) {
    if (!finals_.emplace(id, record).second) return;
    finals_order_.push_back(id);
    if (finals_order_.size() <= settings_.memory_mb * finals_per_mb) return;
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
}
bool UserApi::accepted_before(const std::string& id) const {
    return finals_.contains(id) || live_.last_known(id);
}

// Live first, then final: a job moves in that direction only, in one transaction, so a job that is in neither
// was not accepted when the reads began. With a read for each question, users who asked eight times as often
// used up the requests that the key-value store allows, and half of them got no answer.
void UserApi::look_up(const std::string& id, std::function<void(Known)> done, kv::RequestPriority rank,
                      int tries) {
    if (auto it = finals_.find(id); it != finals_.end()) return done({true, {}, it->second});
    if (tries >= look_up_tries) return done({});
    live_.confirm(id, [this, id, done, rank, tries](LiveJobs::Answer a) {
        if (a.ok && !a.live) return read_final(id, done, rank);  // from memory, if it was told meanwhile
        if (a.ok && !a.ends_unknown.empty()) return read_ends(id, a.ends_unknown, done, rank, tries);
        done({a.ok, a.live, {}});
    });
}
// Whether the job is cancelled hangs on how others ended, each of which is read once for all that await it.
void UserApi::read_ends(const std::string& id, const std::vector<std::string>& ends,
                        std::function<void(Known)> done, kv::RequestPriority rank, int tries) {
    auto left = std::make_shared<std::size_t>(ends.size());
    for (auto& end : ends)
        read_final(
            end,
            [this, id, end, done, rank, tries, left](Known k) {
                if (k.final) live_.ended(end, k.final->state);
                if (--*left == 0) look_up(id, done, rank, tries + 1);
            },
            rank);
}
// One read for all who ask: of a long pipeline hundreds may hang on how the same job ended. A final state
// holds for ever, so those who came while the read was under way may have it, too; that there is none is an
// answer to those only who asked before the read.
void UserApi::read_final(const std::string& id, std::function<void(Known)> done, kv::RequestPriority rank) {
    if (auto it = finals_.find(id); it != finals_.end()) return done({true, {}, it->second});
    auto [it, first] = reading_.try_emplace(id);
    (first ? it->second.asked : it->second.later).push_back(std::move(done));
    if (first) send_read(id, rank);
}
void UserApi::send_read(const std::string& id, kv::RequestPriority rank) {
    state_.get(keys::final(id), rank, [this, id, rank](kv::GetResult f) {
        Known k{f.ok(), {}, {}};
        if (f.entry) try {
                k.final = protocol::parse_final_record(f.entry->value);
                keep_final(id, *k.final);
            } catch (const protocol::Malformed& m) {
                spdlog::error("final record {}: {}", id, m.what());
                k.ok = false;
            }
        auto reading = std::move(reading_.extract(id).mapped());
        if (!reading.later.empty() && k.unknown()) {
            reading_[id].asked = std::move(reading.later);
            send_read(id, rank);
        }
        for (auto* askers : {&reading.asked, &reading.later})
            for (auto& done : *askers)
                if (done) done(k);
    });
}

void UserApi::answer_known(const std::string& id, const Known& k, bool with_counts, http::Reply reply) {
    if (k.final) {
        protocol::JobStatus s{id, k.final->state, {}, {}};
        if (with_counts) {
            s.done = k.final->state == JobState::done ? k.final->tasks : 0;
            s.running = 0;
        }
        return reply(status(200, s));
    }
    if (k.live->cancelled) return reply(status(200, {id, JobState::cancelled, {}, {}}));
    // Counts are for display only; whether the job is over was read from the key-value store just now.
    cluster_.counts(id, [id, with_counts, reply](std::optional<TaskCounts> c) {
        protocol::JobStatus s{id, c && c->running > 0 ? JobState::running : JobState::queued, {}, {}};
        if (with_counts) {
            s.done = c ? c->done : 0;
            s.running = c ? c->running : 0;
        }
        reply(status(200, s));
    });
}

void UserApi::answer(const std::string& id, const Known& k, bool with_counts, http::Reply reply) {
    if (!k.ok) return reply(later());
    if (k.unknown()) return reply({404, protocol::error_body("no such job")});
    answer_known(id, k, with_counts, std::move(reply));
}

void UserApi::query(const std::string& id, http::Reply reply) {
    if (!protocol::valid_job_id(id)) return reply({404, protocol::error_body("no such job")});
    look_up(id, [this, id, reply](Known k) { answer(id, k, true, reply); });
}

// An accepted job's retry is answered with its state, whatever the rest of the body now says.
void UserApi::refuse_unless_known(const std::optional<std::string>& id, http::Response refusal,
                                  http::Reply reply) {
    if (!id) return reply(std::move(refusal));
    look_up(
        *id,
        [this, id = *id, refusal, reply](Known k) {
            if (!k.ok) return reply(later());
            if (k.unknown()) return reply(refusal);
            answer_known(id, k, false, reply);
        },
        kv::RequestPriority::submission);
}

void UserApi::submit(const std::string& body, http::Reply reply) {
    protocol::Job job;
    try {
        job = protocol::parse_job(body);
    } catch (const protocol::Malformed& m) {
        return refuse_unless_known(protocol::job_id_of(body), {400, protocol::error_body(m.what())}, reply);
    }
    auto id = job.id;
    if (cluster_.types().empty()) return refuse_unless_known(id, later(), reply);
    auto verdict = judge(job, cluster_.types(), settings_);
    if (!verdict.runnable) return refuse_unless_known(id, {422, protocol::error_body(verdict.reason)}, reply);
    // Only types that exist matter, each once; a long list of others must not make the record too large.
    if (job.types) {
        std::sort(job.types->begin(), job.types->end());
        job.types->erase(std::unique(job.types->begin(), job.types->end()), job.types->end());
        std::erase_if(*job.types, [&](auto& t) {
            return std::none_of(cluster_.types().begin(), cluster_.types().end(),
                                [&](auto& known) { return known.name == t; });
        });
    }
    auto s = std::make_shared<Submission>();
    s->job = std::move(job);
    s->reply = std::move(reply);
    if (s->job.awaits.empty()) return accept(s);
    // A retry is answered before the awaited jobs are judged.
    auto most = max_dependencies(state_.limits().txn_ops());
    if (s->job.awaits.size() > most)
        return refuse_unless_known(
            id, {422, protocol::error_body("awaits more than " + std::to_string(most) + " jobs")}, s->reply);
    look_up(
        id,
        [this, id, s](Known k) {
            if (!k.ok) return s->reply(later());
            if (!k.unknown()) return answer_known(id, k, false, s->reply);
            if (admission_.admit(s->job.team, timers_.now())) return look_up_awaited(s);
            refuse_for_now(s);
        },
        kv::RequestPriority::submission);
}

// A repetition costs no change: users who looked closely repeated each submission at all controllers, and the
// transactions that failed on that took the changes that other submissions waited for.
void UserApi::accept(std::shared_ptr<Submission> s) {
    auto& id = s->job.id;
    if (auto it = storing_.find(id); it != storing_.end()) return it->second.push_back(s->reply);
    bool known = accepted_before(id), place = admission_.has_place(s->job.team, timers_.now());
    if (!known && place && !state_.short_of_changes()) return admit(s);
    if (known || place) return answer_known_or_admit(s);
    // Who is put off learns so from the shared request alone. A read of its final record for each took most
    // of the reads that questions waited for.
    live_.confirm(id, [this, id, s](LiveJobs::Answer a) {
        if (!a.ok) return s->reply(later());
        if (a.live || finals_.contains(id)) return answer_known_or_admit(s);
        admit(s);
    });
}
void UserApi::answer_known_or_admit(std::shared_ptr<Submission> s) {
    auto& id = s->job.id;
    look_up(
        id,
        [this, id, s](Known k) {
            if (!k.ok) return s->reply(later());
            if (!k.unknown()) return answer_known(id, k, false, s->reply);
            if (auto it = storing_.find(id); it != storing_.end()) return it->second.push_back(s->reply);
            admit(s);
        },
        kv::RequestPriority::submission);
}
void UserApi::admit(std::shared_ptr<Submission> s) {
    if (admission_.admit(s->job.team, timers_.now())) return store(s);
    refuse_for_now(s);
}
void UserApi::refuse_for_now(const std::shared_ptr<Submission>& s) {
    s->reply(put_off(admission_.retry_after_s(s->job.team, timers_.now())));
}

// Each awaited job is looked up, and the transaction then holds on to what was found: if one that was live is
// cancelled or over before the job is stored, nothing is stored and all are looked up again.
void UserApi::look_up_awaited(std::shared_ptr<Submission> s) {
    s->asked = s->job.awaits.size();
    s->unanswered = s->cancelled = false;
    s->unknown.clear();
    s->unfinished.clear();
    s->conditions.clear();
    for (auto& a : s->job.awaits)
        look_up(
            a,
            [this, s, a](Known k) {
                s->unanswered = s->unanswered || !k.ok;
                if (k.unknown()) s->unknown = a;
                if (k.final) s->cancelled = s->cancelled || k.final->state == JobState::cancelled;
                if (k.live) {
                    s->cancelled = s->cancelled || k.live->cancelled;
                    s->unfinished.push_back(a);
                    s->conditions.push_back({keys::job(a), k.live->version});
                }
                if (--s->asked == 0) judge_awaited(s);
            },
            kv::RequestPriority::submission);
}
void UserApi::judge_awaited(std::shared_ptr<Submission> s) {
    if (!s->unknown.empty())
        return refuse_unless_known(
            s->job.id, {422, protocol::error_body("awaits " + s->unknown + ", which was never accepted")},
            s->reply);
    if (s->unanswered) return s->reply(later());
    if (s->cancelled) s->conditions.clear();  // for ever, whatever becomes of the others
    store(s);
}

void UserApi::store(std::shared_ptr<Submission> s) {
    auto id = s->job.id;
    protocol::JobRecord record{s->job, timers_.unix_time(), s->cancelled};
    // Those that are done need not be kept, nor any once the job is cancelled.
    record.job.awaits = s->cancelled ? std::vector<std::string>{} : s->unfinished;
    auto value = protocol::stored(record);
    constexpr const char* too_long = "the job's texts and awaited jobs are too long to be stored";
    if (value.size() > state_.limits().value_bytes())
        return refuse_unless_known(id, {422, protocol::error_body(too_long)}, s->reply);
    protocol::Txn t;
    t.conditions = s->conditions;
    t.conditions.push_back({keys::job(id), 0});
    t.conditions.push_back({keys::final(id), 0});
    t.changes = {{keys::job(id), std::move(value), 0}};
    storing_.try_emplace(id);
    // Those who repeat it meanwhile must not be told what is older than their question: they are looked up
    // anew. Of a second try to store it, all but the first ask again in any case.
    s->reply = [this, id, reply = std::move(s->reply)](http::Response a) {
        auto others = storing_.extract(id);
        reply(std::move(a));
        if (others)
            for (auto& other : others.mapped()) refuse_unless_known(id, later(), other);
    };
    state_.txn(std::move(t), kv::RequestPriority::submission, [this, id, s](kv::TxnResult c) {
        using S = kv::TxnResult::Status;
        if (c.status == S::committed)
            return s->reply(status(201, {id, s->cancelled ? JobState::cancelled : JobState::queued, {}, {}}));
        if (c.status != S::unknown) admission_.give_back(s->job.team, timers_.now());
        if (c.status == S::refused) return s->reply(later());
        if (c.status == S::rejected)
            return refuse_unless_known(id, {422, protocol::error_body(too_long)}, s->reply);
        // An awaited job was cancelled or came to its end meanwhile.
        bool other = c.status == S::conflict && !c.failed_on(keys::job(id)) && !c.failed_on(keys::final(id));
        if (other && ++s->tries < submit_tries && admission_.admit(s->job.team, timers_.now()))
            return look_up_awaited(s);
        // Known already, or the answer was lost: read, then decide. If it is not there yet, the user asks
        // again.
        refuse_unless_known(id, later(), s->reply);
    });
}

// What is told of a cancelled or finished job holds for ever, so all who ask for the same meanwhile may have
// it.
void UserApi::cancel(const std::string& id, http::Reply reply) {
    if (!protocol::valid_job_id(id)) return reply({404, protocol::error_body("no such job")});
    if (auto it = finals_.find(id); it != finals_.end())
        return answer_known(id, {true, {}, it->second}, false, reply);
    if (auto* live = live_.last_known(id); live && live->cancelled)
        return reply(status(200, {id, JobState::cancelled, {}, {}}));
    auto [it, first] = cancelling_.try_emplace(id);
    it->second.push_back(std::move(reply));
    if (first)
        send_cancel(
            id, [this, id](http::Response a) { cancel_answered(id, a); }, 0);
}
// That there is no such job is an answer only to who asked before it was read: the others ask again.
void UserApi::cancel_answered(const std::string& id, const http::Response& answer) {
    auto askers = std::move(cancelling_.extract(id).mapped());
    for (std::size_t k = 0; k < askers.size(); ++k)
        askers[k](k > 0 && answer.status == 404 ? later() : answer);
}
void UserApi::send_cancel(const std::string& id, http::Reply reply, int tries) {
    if (tries >= cancel_tries) return reply(later());
    // The record itself is needed, to be written again.
    state_.get(keys::job(id), kv::RequestPriority::cancellation, [this, id, reply, tries](kv::GetResult f) {
        if (!f.ok()) return reply(later());
        if (f.entry) return store_cancelled(id, *f.entry, reply, tries);
        read_final(id, [this, id, reply](Known k) { answer(id, k, false, reply); });
    });
}
void UserApi::store_cancelled(const std::string& id, const protocol::Entry& entry, http::Reply reply,
                              int tries) {
    protocol::JobRecord record;
    try {
        record = protocol::parse_job_record(entry.value);
    } catch (const protocol::Malformed& m) {
        spdlog::error("job record {}: {}", id, m.what());
        return reply(later());
    }
    if (record.cancelled) {
        // Perhaps by this very request, and only the answer was lost: the leader is told all the same.
        if (tries > 0) cluster_.cancelled(id, entry.version);
        return reply(status(200, {id, JobState::cancelled, {}, {}}));
    }
    protocol::Txn t;
    t.conditions = {{keys::job(id), entry.version}};
    record.cancelled = true;
    record.job.awaits.clear();  // so that every version can read it
    auto value = protocol::stored(record);
    // Stored when larger values were allowed.
    if (value.size() > state_.limits().value_bytes())
        value = protocol::stored(protocol::shortened(std::move(record)));
    t.changes = {{keys::job(id), std::move(value), 0}};
    state_.txn(std::move(t), kv::RequestPriority::cancellation, [this, id, reply, tries](kv::TxnResult c) {
        using S = kv::TxnResult::Status;
        if (c.status == S::committed) {
            cluster_.cancelled(id, c.revision);
            return reply(status(200, {id, JobState::cancelled, {}, {}}));
        }
        if (c.status == S::refused) return reply(later());
        send_cancel(id, reply, tries + 1);
    });
}

}  // namespace coralhitch::api
