// Decides which commands a machine gets, in the reply to its heartbeat or directly, and fences those that may
// arrive late. Does not send anything itself.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster/fencing_tokens.hpp"
#include "cluster/machine.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

// Commands to send directly to one machine.
struct DirectCommands {
    std::vector<protocol::Command> commands;
    // A `run` was left out, because the leader has no authority or the machine is not reconciled or not up.
    // It is to be tried again.
    bool starts_held_back = false;
};

// The commands for all machines of one leadership. Keeps a reference to the leadership's tokens, which must
// outlive it. `now` is in seconds of the leader's steady clock. `authority`: the leader holds its lease, so
// it may start tasks.
class MachineCommands {
  public:
    explicit MachineCommands(FencingTokens& tokens) : tokens_(tokens) {}

    // Returns the commands for the reply to a heartbeat. Without authority these are only stops, which were
    // decided while the leader had it.
    std::vector<protocol::Command> for_reply(Machine& machine, double now, bool authority);
    // Returns the commands to be sent directly, at once. Each `run` counts as in flight until
    // `complete_direct`.
    DirectCommands take_direct(Machine& machine, double now, bool authority);
    // Records the result of direct commands that were sent under `token`. `answered`: the agent has executed
    // or refused them. A command without an answer may still arrive minutes later.
    void complete_direct(Machine& machine, const std::vector<protocol::Command>& commands,
                         protocol::FencingToken token, bool answered);
    // Requests the stop of a task with `grace_s` seconds for a checkpoint. The grace of a pending stop can
    // only be shortened. Returns true if anything changed.
    bool request_stop(Machine& machine, const protocol::TaskId& task, double grace_s);

  private:
    void fence_unacknowledged_runs(Machine& machine);
    void fence_answered_runs(Machine& machine);
    FencingTokens& tokens_;
};

// Returns true if there is no command for the machine, and its heartbeats have shown every instance on
// record. A further heartbeat with the same content then changes nothing, and its reply contains no commands.
bool nothing_pending(const Machine& machine);

// Returns true if the reply to the newest heartbeat may renew the agent's lease. The reply contains a `stop`
// for each cancelled task that the heartbeat shows. A cancelled task that it does not show may have been
// started since by a delayed `run`, and a renewed lease would let it run for another lease duration without a
// `stop`. So after the deadline of the cancellation the reply must not renew the lease. Direct commands,
// which do not renew the lease, fence the delayed `run` meanwhile.
bool may_renew_lease(const Machine& machine, double now);

}  // namespace coralhitch::cluster
