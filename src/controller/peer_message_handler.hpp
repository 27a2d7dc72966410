// Dispatches messages from other controllers to the components that handle them, and returns their answers.
//
// Answers 404 to an unknown path, 405 to a method other than POST, and 400 to a body that cannot be unpacked,
// for instance because the sender runs another version.
//
// Side effects: calls the components in its dependencies, each through one function.
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

// References to other components, which must outlive the handler.
struct PeerMessageHandlerDependencies {
    const config::Settings& settings;
    const election::Election& election;
    const LocalLeader& leader;
    PeerMonitor& peers;
    UserRouter& users;
    const TaskCountService& task_counts;
    replication::Follower& replica;
};

// A dispatcher of other controllers' messages by their paths. Not thread safe.
class PeerMessageHandler {
  public:
    explicit PeerMessageHandler(PeerMessageHandlerDependencies dependencies) : dependencies_(dependencies) {}

    // Serves a request of another controller. The leader and the user API may call `reply` later; all other
    // answers are sent before this returns.
    void serve(const http::Request& request, const http::Reply& reply);

  private:
    // Unpacks the body as a Message and passes it to `handle`. Answers 400 if it cannot be unpacked.
    template <class Message, class Handle>
    static void with_message(const http::Request& request, const http::Reply& reply, Handle handle);
    void relay_heartbeats(const protocol::RelayRequest& message, const http::Reply& reply) const;
    void replicate(const http::Request& request, const http::Reply& reply);
    [[nodiscard]] protocol::PeerCancellationResponse apply_cancellations(
        const protocol::PeerCancellationBatch& message) const;

    PeerMessageHandlerDependencies dependencies_;
};

}  // namespace coralhitch::controller
