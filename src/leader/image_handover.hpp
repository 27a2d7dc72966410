// The machines' image caches as sent to the controller that leads next: heartbeats show only the images of
// what is on a machine now, and a new leader that knew no others sent tasks to where all had to be fetched.
//
// On the event loop's thread.
#pragma once
#include "cluster/cluster_state.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::leader {

// The image caches of all machines, as this leader knows them.
[[nodiscard]] protocol::PeerImages image_caches_to_hand_over(const cluster::ClusterState& cluster);
// Notes the caches that the previous leader sent, where nothing newer is known. The caller holds the
// cluster state's mutex.
void restore_image_caches(cluster::ClusterState& cluster, const protocol::PeerImages& handed_over);

}  // namespace coralhitch::leader
