// Handles cancellations by users: marks the live record of a job as cancelled.
//
// All functions and callbacks run on the event loop's thread.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "api/cluster_queries.hpp"
#include "api/job_reader.hpp"
#include "api/job_status_responder.hpp"
#include "http/message.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// Cancels jobs in the key-value store and notifies the leader. All arguments of the constructor must outlive
// it.
class CancellationHandler {
  public:
    CancellationHandler(kv::KvClient& kv, ClusterQueries& cluster, JobReader& reader,
                        JobStatusResponder& responder)
        : kv_(kv), cluster_(cluster), reader_(reader), responder_(responder) {}
    // Cancels a job and answers with its state: cancelled, or its final state if it had ended before. Answers
    // 404 for an unknown job, and 503 if the cancellation could not be stored.
    void cancel(const std::string& id, http::Reply reply);

  private:
    void answer_all(const std::string& id, const http::Response& response);
    void read_record(const std::string& id, const http::Reply& reply, int attempt);
    void store_cancelled(const std::string& id, const protocol::Entry& entry, const http::Reply& reply,
                         int attempt);
    protocol::Txn cancellation_txn(const std::string& id, const protocol::Entry& entry,
                                   protocol::JobRecord record) const;

    kv::KvClient& kv_;
    ClusterQueries& cluster_;
    JobReader& reader_;
    JobStatusResponder& responder_;
    // Replies to all users who wait for a cancellation in progress, by job. The first one is that of the
    // request that started the cancellation.
    std::unordered_map<std::string, std::vector<http::Reply>> replies_by_job_;
};

}  // namespace coralhitch::api
