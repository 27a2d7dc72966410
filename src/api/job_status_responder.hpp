// Answers users' requests with the state of a job.
#pragma once
#include <optional>
#include <string>

#include "api/cluster_queries.hpp"
#include "api/job_reader.hpp"
#include "http/message.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// Reads jobs and writes their states into responses. Each function calls `reply` exactly once. All functions
// and callbacks run on the event loop's thread.
class JobStatusResponder {
  public:
    JobStatusResponder(JobReader& reader, ClusterQueries& cluster) : reader_(reader), cluster_(cluster) {}

    // Answers a user's query with the state and the task counts of a job, with 404 if it was never accepted,
    // and with 503 if it can't be read.
    void query(const std::string& id, const http::Reply& reply);
    // Answers with a state that was read already, without task counts: with 503 if the read failed, and with
    // 404 for an unknown job.
    void reply_state(const std::string& id, const JobReadResult& result, const http::Reply& reply);
    // Answers a submission that can't be accepted: with the job's state if a job of this id was accepted
    // before, with 503 if the job can't be read, and with `refusal` otherwise. A retry of an accepted
    // submission must be answered as accepted, whatever the rest of its body says. `id` is empty if the body
    // has none.
    void refuse_unless_accepted(const std::optional<std::string>& id, const http::Response& refusal,
                                const http::Reply& reply);

  private:
    enum class TaskCountsField { include, omit };
    void respond(const std::string& id, const JobReadResult& result, TaskCountsField counts_field,
                 const http::Response& if_unknown, const http::Reply& reply);
    void respond_final(const std::string& id, const protocol::FinalRecord& record,
                       TaskCountsField counts_field, const http::Reply& reply);
    void respond_live(const std::string& id, const LiveJob& job, TaskCountsField counts_field,
                      const http::Reply& reply);

    JobReader& reader_;
    ClusterQueries& cluster_;
};

}  // namespace coralhitch::api
