// User API of a controller: submit, query and cancel jobs. Any controller answers, whether it is the leader
// or not, from what it reads in the key-value store.
//
//   SubmissionHandler    validation, admission, dependencies, storing a job
//   CancellationHandler  cancellation
//   JobStatusResponder   queries, and the job states in all other answers
//   JobReader, LiveJobs  shared reads of the key-value store
#pragma once
#include <string>
#include <utility>

#include "api/cancellation_handler.hpp"
#include "api/cluster_queries.hpp"
#include "api/job_reader.hpp"
#include "api/job_status_responder.hpp"
#include "api/submission_handler.hpp"
#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::api {

// Entry point for users' requests. Runs on the event loop's thread. All arguments of the constructor must
// outlive it.
class UserApi {
  public:
    UserApi(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
            ClusterQueries& cluster)
        : reader_(timers, kv, settings),
          responder_(reader_, cluster),
          submission_handler_(timers, kv, settings, cluster, reader_, responder_),
          cancellation_handler_(kv, cluster, reader_, responder_) {}
    UserApi(const UserApi&) = delete;
    UserApi& operator=(const UserApi&) = delete;

    // Handle one request each and call `reply` exactly once, before they return or later.
    void submit(const std::string& body, http::Reply reply) {
        submission_handler_.submit(body, std::move(reply));
    }
    void query(const std::string& id, const http::Reply& reply) { responder_.query(id, reply); }
    void cancel(const std::string& id, http::Reply reply) {
        cancellation_handler_.cancel(id, std::move(reply));
    }

    LiveJobs& live_jobs() { return reader_.live_jobs(); }
    const Admission& admission() const { return submission_handler_.admission(); }

  private:
    JobReader reader_;
    JobStatusResponder responder_;
    SubmissionHandler submission_handler_;
    CancellationHandler cancellation_handler_;
};

}  // namespace coralhitch::api
