// Passes the contents of the machines' image caches to the controller that leads next. Heartbeats show only
// the images of the tasks that are on a machine now. A new leader that knew no other images placed tasks on
// machines that had to fetch all of them.
//
// Runs on the event loop's thread.
#pragma once
#include "cluster/cluster_state.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::leader {

// Returns the contents of all machines' image caches, as far as this leader knows them.
[[nodiscard]] protocol::PeerImages image_caches_to_hand_over(const cluster::ClusterState& cluster);
// Restores the image caches that the previous leader sent, for machines of which nothing newer is known. The
// caller holds LeaderState::mutex.
void restore_image_caches(cluster::ClusterState& cluster, const protocol::PeerImages& handed_over);

}  // namespace coralhitch::leader
