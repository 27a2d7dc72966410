// Which reports count. Reports, and copies of them, may come well over a lease late, after any number of
// newer ones, and to a leader that has received none of those. Pure.
#pragma once
#include "cluster/fencing_tokens.hpp"
#include "cluster/heartbeat_outcome.hpp"
#include "cluster/machine.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

// The agent had received a message of this leader when it sent the report.
bool sent_since_leadership_began(const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
                                 const FencingTokens& tokens);

// What the report shows is proven terminated. `known`: the machine on record, or null.
bool is_from_terminated_epoch(const Machine* known, const protocol::Heartbeat& heartbeat,
                              HeartbeatChannel channel, const FencingTokens& tokens);

// The report is newer than all that is known of the machine.
bool is_newer(const Machine& machine, const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
              const FencingTokens& tokens);

// What to do with a report that is not newer. Notes that a heartbeat which a direct reply has overtaken came.
HeartbeatStatus status_of_older(Machine& machine, const protocol::Heartbeat& heartbeat,
                                HeartbeatChannel channel);

}  // namespace coralhitch::cluster
