#include "controller/peer_message_handler.hpp"

#include <utility>

#include "controller/peer_http.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::controller {
namespace {

template <class Message>
void reply_packed(const http::Reply& reply, const Message& message) {
    reply(msgpack_response(protocol::pack_peer(message)));
}

void reply_malformed(const http::Reply& reply) {
    reply({400, {}});
}

}  // namespace

template <class Message, class Handle>
void PeerMessageHandler::with_message(const http::Request& request, const http::Reply& reply, Handle handle) {
    auto message = protocol::unpack_peer<Message>(request.body);
    if (!message) return reply_malformed(reply);
    handle(std::move(*message));
}

void PeerMessageHandler::serve(const http::Request& request, const http::Reply& reply) {
    if (request.method != "POST") return reply({405, {}});
    if (request.target == protocol::peer_ping_path) {
        with_message<protocol::PeerPing>(request, reply, [&](protocol::PeerPing ping) {
            reply_packed(reply, dependencies_.peers.answer_ping(std::move(ping)));
        });
    } else if (request.target == protocol::peer_user_path) {
        with_message<protocol::PeerUserRequest>(request, reply, [&](const auto& forwarded) {
            dependencies_.users.serve_forwarded(forwarded, reply);
        });
    } else if (request.target == protocol::peer_relay_path) {
        with_message<protocol::RelayRequest>(request, reply,
                                             [&](const auto& message) { relay_heartbeats(message, reply); });
    } else if (request.target == protocol::peer_replication_path) {
        replicate(request, reply);
    } else if (request.target == protocol::peer_images_path) {
        with_message<protocol::PeerImages>(request, reply, [&](protocol::PeerImages image_caches) {
            dependencies_.peers.set_image_caches(std::move(image_caches));
            reply(msgpack_response({}));
        });
    } else if (request.target == protocol::peer_job_path) {
        with_message<protocol::PeerJobQuery>(request, reply, [&](const auto& query) {
            reply_packed(reply, dependencies_.task_counts.answer_peer(query));
        });
    } else if (request.target == protocol::peer_cancellation_path) {
        with_message<protocol::PeerCancellationBatch>(
            request, reply, [&](const auto& message) { reply_packed(reply, apply_cancellations(message)); });
    } else {
        reply({404, {}});
    }
}

void PeerMessageHandler::relay_heartbeats(const protocol::RelayRequest& message,
                                          const http::Reply& reply) const {
    if (dependencies_.leader) return dependencies_.leader->handle_relayed_heartbeats(message, reply);
    reply_packed(reply, protocol::RelayResponse{});
}

// Rejects the request if replication is switched off on this controller.
void PeerMessageHandler::replicate(const http::Request& request, const http::Reply& reply) {
    with_message<protocol::ReplicationRequest>(request, reply, [&](protocol::ReplicationRequest piece) {
        if (!dependencies_.settings.op.replicate_starts) return reply_malformed(reply);
        reply_packed(reply, dependencies_.replica.apply(std::move(piece)));
    });
}

protocol::PeerCancellationResponse PeerMessageHandler::apply_cancellations(
    const protocol::PeerCancellationBatch& message) const {
    const auto& leader = dependencies_.leader;
    if (!leader) return {protocol::LeaderVersion::none()};
    leader->apply_cancellation(message.id, message.version);
    for (auto& notice : message.more)
        if (leader) leader->apply_cancellation(notice.id, notice.version);
    return {leader ? dependencies_.election.fencing_token() : protocol::LeaderVersion::none()};
}

}  // namespace coralhitch::controller
