// The users' interface: submit, query, cancel, on any controller, on the authority of the key-value store.
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "api/admission.hpp"
#include "api/live_jobs.hpp"
#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "kv/kv_client.hpp"
#include "protocol/protocol.hpp"

namespace coralhitch::api {

struct Verdict {
    bool runnable = true;
    std::string reason;
};
// Whether the job can ever run on what exists.
Verdict judge(const protocol::Job& job, const std::vector<protocol::MachineType>& types,
              const config::Settings& settings);

// How many jobs one may await: a condition of the transaction for each, beside two of its own.
std::size_t max_dependencies(std::size_t txn_ops);

struct TaskCounts {
    std::uint64_t done = 0, running = 0;
};

// What the interface needs of the controller it is part of.
class ClusterQueries {
  public:
    virtual ~ClusterQueries() = default;
    virtual const std::vector<protocol::MachineType>& types() const = 0;  // empty: not known yet
    virtual void counts(const std::string& id, std::function<void(std::optional<TaskCounts>)> done) = 0;
    virtual void cancelled(const std::string& id, std::uint64_t version) = 0;
};

class UserApi {
  public:
    UserApi(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
            ClusterQueries& around);
    void submit(const std::string& body, http::Reply reply);
    void query(const std::string& id, http::Reply reply);
    void cancel(const std::string& id, http::Reply reply);
    LiveJobs& live_jobs() { return live_; }
    const Admission& admission() const { return admission_; }

  private:
    struct Known {
        bool ok = false;  // false: the key-value store did not answer
        std::optional<LiveJobs::Live> live;
        std::optional<protocol::FinalRecord> final;
        bool unknown() const { return ok && !live && !final; }
    };
    // A submission while the jobs that it awaits are looked up.
    struct Submission {
        protocol::Job job;
        http::Reply reply;
        int tries = 0;
        std::size_t asked = 0;
        bool unanswered = false, cancelled = false;
        std::string unknown;                  // one that was never accepted
        std::vector<std::string> unfinished;  // to be awaited
        std::vector<protocol::Condition> conditions;
    };
    // Reads for submissions have their rank, and wait behind no questions.
    void look_up(const std::string& id, std::function<void(Known)> done,
                 kv::RequestPriority rank = kv::RequestPriority::read, int tries = 0);
    void read_ends(const std::string& id, const std::vector<std::string>& ends,
                   std::function<void(Known)> done, kv::RequestPriority rank, int tries);
    void look_up_awaited(std::shared_ptr<Submission> s);
    void judge_awaited(std::shared_ptr<Submission> s);
    void read_final(const std::string& id, std::function<void(Known)> done,
                    kv::RequestPriority rank = kv::RequestPriority::read);
    void send_read(const std::string& id, kv::RequestPriority rank);
    void store_cancelled(const std::string& id, const protocol::Entry& entry, http::Reply reply, int tries);
    void answer(const std::string& id, const Known& k, bool with_counts, http::Reply reply);
    void answer_known(const std::string& id, const Known& k, bool with_counts, http::Reply reply);
    void refuse_unless_known(const std::optional<std::string>& id, http::Response refusal, http::Reply reply);
    void accept(std::shared_ptr<Submission> s);
    void answer_known_or_admit(std::shared_ptr<Submission> s);
    void admit(std::shared_ptr<Submission> s);
    void refuse_for_now(const std::shared_ptr<Submission>& s);
    void store(std::shared_ptr<Submission> s);
    void send_cancel(const std::string& id, http::Reply reply, int tries);
    void cancel_answered(const std::string& id, const http::Response& answer);
    void keep_final(const std::string& id, const protocol::FinalRecord& record);
    bool accepted_before(const std::string& id) const;

    event_loop::Timers& timers_;
    kv::KvClient& state_;
    const config::Settings& settings_;
    ClusterQueries& cluster_;
    LiveJobs live_;
    Admission admission_;
    // Final states never change, so they may be told from memory; the oldest are forgotten first.
    std::unordered_map<std::string, protocol::FinalRecord> finals_;
    std::deque<std::string> finals_order_;
    // Submissions that are being stored, by job, with those that repeat them meanwhile.
    std::unordered_map<std::string, std::vector<http::Reply>> storing_;
    std::unordered_map<std::string, std::vector<http::Reply>> cancelling_;
    struct Reading {
        std::vector<std::function<void(Known)>> asked, later;  // before the read was sent, and since
    };
    std::unordered_map<std::string, Reading> reading_;
};

}  // namespace coralhitch::api
