// Submissions: validation, idempotency, admission, dependencies, and storing the job.
//
// A submission is idempotent by the job's id: a repeated one is answered with the job's state. It costs no
// write, as far as that can be known: users who repeated each submission at all controllers caused
// transactions that failed, and those used up the writes that other submissions waited for.
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

class SubmissionHandler {
  public:
    SubmissionHandler(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                      ClusterQueries& cluster, JobReader& reader, JobStatusResponder& responder);
    // `body`: the job as JSON.
    void submit(const std::string& body, http::Reply reply);
    const Admission& admission() const { return admission_; }

  private:
    struct Submission {
        protocol::Job job;
        http::Reply reply;
        int store_attempts = 0;
        // What was read of the job's dependencies.
        std::size_t outstanding_reads = 0;
        bool read_failed = false;
        bool cancelled = false;          // a dependency is cancelled, and so is the job from the beginning
        std::string unknown_dependency;  // one that was never accepted; empty if there is none
        std::vector<std::string> unfinished_dependencies;
        std::vector<protocol::Condition> conditions;  // that the live dependencies are as they were read
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
    // Jobs that are being stored, with the submissions that repeat them meanwhile.
    std::unordered_map<std::string, std::vector<http::Reply>> repeated_;
};

}  // namespace coralhitch::api
