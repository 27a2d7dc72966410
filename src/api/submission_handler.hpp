// Handles submissions: validation, idempotency, admission, dependencies, and storing the job.
//
// A submission is idempotent by the job's id: a repeated submission is answered with the job's state. It
// sends no transaction if the controller can know that the job exists. When users repeated each submission at
// all controllers, the failing transactions used up the writes that other submissions waited for.
//
// All functions and callbacks run on the event loop's thread.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "api/admission.hpp"
#include "api/cluster_queries.hpp"
#include "api/job_reader.hpp"
#include "api/job_status_responder.hpp"
#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// Stores submitted jobs in the key-value store. All references passed to the constructor must outlive it.
class SubmissionHandler {
  public:
    SubmissionHandler(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                      ClusterQueries& cluster, JobReader& reader, JobStatusResponder& responder);
    // Accepts or refuses a job, given as JSON in `body`, and calls `reply` exactly once. Answers 201 with the
    // state of an accepted job, 200 with the state of a job accepted before, 400 for a malformed body, 422
    // for a job that can never run or can't be stored, and 503 if the user is to retry.
    void submit(const std::string& body, http::Reply reply);
    const Admission& admission() const { return admission_; }

  private:
    // Submission in progress.
    struct Submission {
        protocol::Job job;
        http::Reply reply;
        int store_attempts = 0;  // transactions that failed because a dependency had changed
        // Results of the reads of the job's dependencies.
        std::size_t outstanding_reads = 0;
        bool read_failed = false;
        bool cancelled = false;  // true if a dependency is cancelled; the job is stored as cancelled then
        std::string unknown_dependency;  // id of a dependency that was never accepted; empty if there is none
        std::vector<std::string> unfinished_dependencies;
        std::vector<protocol::Condition> conditions;  // live records of the dependencies must be unchanged
    };
    using SubmissionPtr = std::shared_ptr<Submission>;

    void accept(const SubmissionPtr& submission);
    void accept_if_unknown(const SubmissionPtr& submission);
    void accept_with_dependencies(const SubmissionPtr& submission);
    void admit(const SubmissionPtr& submission);
    void reject_overload(const SubmissionPtr& submission);
    void read_dependencies(const SubmissionPtr& submission);
    void add_dependency(Submission& submission, const std::string& id, const JobReadResult& result);
    void check_dependencies(const SubmissionPtr& submission);
    void store(const SubmissionPtr& submission);
    void hold_repeated_submissions(Submission& submission);
    void handle_store_result(const SubmissionPtr& submission, const kv::TxnResult& result);

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    ClusterQueries& cluster_;
    JobReader& reader_;
    JobStatusResponder& responder_;
    Admission admission_;
    // Replies to submissions that repeat a job while it is being stored, by job.
    std::unordered_map<std::string, std::vector<http::Reply>> held_replies_;
};

}  // namespace coralhitch::api
