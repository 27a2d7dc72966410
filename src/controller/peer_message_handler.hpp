// Messages from other controllers: each is read and handed to the part that it is for, and that part's answer
// is sent back.
//
// The answer to a path that is not known is 404, to another method than POST 405, to a body that can't be
// read, such as one of another version, 400.
// May touch: the parts in its dependencies, each through one function.
#pragma once
#include "config/settings.hpp"
#include "controller/local_leader.hpp"
#include "controller/peer_monitor.hpp"
#include "controller/task_count_service.hpp"
#include "controller/user_router.hpp"
#include "election/election.hpp"
#include "http/message.hpp"
#include "protocol/peer_cancellation_messages.hpp"
#include "protocol/peer_messages.hpp"
#include "replication/follower.hpp"

namespace coralhitch::controller {

// All must outlive the handler.
struct PeerMessageHandlerDependencies {
    const config::Settings& settings;
    const election::Election& election;
    const LocalLeader& leader;
    PeerMonitor& peers;
    UserRouter& users;
    const TaskCountService& task_counts;
    replication::Follower& replica;
};

class PeerMessageHandler {
  public:
    explicit PeerMessageHandler(PeerMessageHandlerDependencies dependencies) : dependencies_(dependencies) {}

    void serve(const http::Request& request, http::Reply reply);

  private:
    // Reads the body as a Message and hands it on; answers 400 if it is none.
    template <class Message, class Handle>
    static void with_message(const http::Request& request, const http::Reply& reply, Handle handle);
    void relay_heartbeats(const protocol::RelayRequest& message, http::Reply reply) const;
    void replicate(const http::Request& request, const http::Reply& reply);
    [[nodiscard]] protocol::PeerCancellationResponse take_cancellations(
        const protocol::PeerCancellationBatch& message) const;

    PeerMessageHandlerDependencies dependencies_;
};

}  // namespace coralhitch::controller
