// Answers users' requests with the state of a job.
#pragma once
#include <optional>
#include <string>

#include "api/cluster_queries.hpp"
#include "api/job_reader.hpp"
#include "http/message.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

class JobStatusResponder {
  public:
    JobStatusResponder(JobReader& reader, ClusterQueries& cluster) : reader_(reader), cluster_(cluster) {}

    // A user's query: state and task counts of a job, 404 if it was never accepted.
    void query(const std::string& id, const http::Reply& reply);
    // Answers with what was read, 503 if that failed, 404 for an unknown job; without task counts.
    void reply_state(const std::string& id, const JobReadResult& result, const http::Reply& reply);
    // Answers a submission that can't be accepted: with `refusal`, but with the job's state if its id was
    // accepted before. A retry of an accepted submission must be answered as such, whatever the rest of its
    // body now says. `id`: empty if the body has none.
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
