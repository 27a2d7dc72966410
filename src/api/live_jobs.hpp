// Which jobs are live, as the key-value store says when it is asked, for many questions with one request.
//
// A copy of the live jobs' versions is kept at some revision. A question is answered only after a request to
// the key-value store that was sent after it came in: a watch that does not wait returns all changes since
// that revision, or shows that there are none. Questions that come while one is under way go with the next.
//
// A job is cancelled with any job that it awaits, directly or through others. That follows from what is
// stored without waiting for a leader to mark it: while there is none, or no key-value store to write to,
// users must not be told for longer than the platform allows that such a job still waits.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "jobs/dependency_graph.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::api {

class LiveJobs {
  public:
    struct Live {
        std::uint64_t version = 0;
        bool cancelled = false;           // itself, or behind a job that is
        std::vector<std::string> awaits;  // those not known to be done
    };
    struct Answer {
        bool ok = false;  // false: the key-value store did not answer; nothing is known
        std::optional<Live> live;
        // Jobs before it that are not live: how they ended decides whether this one is cancelled. To be told
        // with `ended`, then asked again.
        std::vector<std::string> ends_unknown;
    };
    using Done = std::function<void(Answer)>;
    // A final record as the key-value store says it; told before the questions that were asked with it.
    using Ended = std::function<void(const std::string& id, const std::string& record)>;

    LiveJobs(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
             Ended ended = {});
    void confirm(const std::string& id, Done done);
    void ended(const std::string& id, protocol::JobState state);  // for ever
    void keep_up();  // now and then, so that the revision does not become too old to ask from

    std::uint64_t questions() const { return questions_; }  // so far
    std::uint64_t requests() const { return requests_; }
    std::size_t size() const { return jobs_.size(); }
    // As of the last answer; null: not live then. What is cancelled stays so.
    const Live* last_known(const std::string& id) const;

  private:
    struct Question {
        std::string id;
        Done done;
    };
    void ask();
    void ask_soon();
    void read_all(std::vector<Question> batch);
    void read_changes(std::vector<Question> batch);
    void read_ends(std::vector<Question> batch, std::uint64_t since);
    void take(const std::string& key, std::uint64_t version, const std::string* value);
    void drop(const std::string& id);
    void cancel_behind(const std::string& id);
    std::vector<std::string> unknown_before(const std::string& id) const;
    void answer(std::vector<Question> batch, bool ok);

    event_loop::Timers& timers_;
    kv::KvClient& state_;
    const config::Settings& settings_;
    Ended told_ended_;
    std::unordered_map<std::string, Live> jobs_;
    jobs::DependencyGraph awaits_;
    std::uint64_t revision_ = 0;  // 0: all must be read first
    std::uint64_t questions_ = 0, requests_ = 0;
    std::vector<Question> waiting_;
    bool asking_ = false, armed_ = false;
    double last_ = -1;
    std::size_t dropped_ = 0;  // jobs that left with the changes read last
};

}  // namespace coralhitch::api
