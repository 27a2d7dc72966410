// Decides which heartbeats are applied. A heartbeat, or a copy of it, may arrive more than a lease duration
// late, after any number of newer ones, and at a leader that has received none of the newer ones. Functions
// without state of their own.
#pragma once
#include "cluster/fencing_tokens.hpp"
#include "cluster/heartbeat_outcome.hpp"
#include "cluster/machine.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

// Returns true if the agent had received a message of this leader when it sent the heartbeat.
bool sent_since_leadership_began(const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
                                 const FencingTokens& tokens);

// Returns true if everything that the heartbeat shows is known to have terminated. `known`: the machine on
// record, or null if there is none.
bool is_from_terminated_epoch(const Machine* known, const protocol::Heartbeat& heartbeat,
                              HeartbeatChannel channel, const FencingTokens& tokens);

// Returns true if the heartbeat is newer than everything on record for the machine.
bool is_newer(const Machine& machine, const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
              const FencingTokens& tokens);

// Classifies a heartbeat that is not newer than the record. If a direct reply has overtaken a periodic
// heartbeat, records the sequence number of the latter in `machine.heartbeat_sequence`.
HeartbeatStatus status_of_older(Machine& machine, const protocol::Heartbeat& heartbeat,
                                HeartbeatChannel channel);

}  // namespace coralhitch::cluster
