// Which commands a machine is to get, in the reply to its heartbeat or directly, and the fencing of those
// that may arrive late. Sends nothing itself.
#pragma once
#include <cstdint>
#include <vector>

#include "cluster/fencing_tokens.hpp"
#include "cluster/machine.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

struct DirectCommands {
    std::vector<protocol::Command> commands;
    bool starts_held_back = false;  // for want of authority: to be tried again
};

// Refers to the leadership's tokens, which outlive it.
class MachineCommands {
  public:
    explicit MachineCommands(FencingTokens& tokens) : tokens_(tokens) {}

    // For the reply to a heartbeat. Without authority only stops, which were decided with it.
    std::vector<protocol::Command> for_reply(Machine& machine, double now, bool authority);
    // To be sent at once; they count as in flight until `complete_direct`.
    DirectCommands take_direct(Machine& machine, double now, bool authority);
    // What became of direct commands that were sent under this token. `answered`: executed or refused by the
    // agent; one without an answer may still arrive, minutes later.
    void complete_direct(Machine& machine, const std::vector<protocol::Command>& commands,
                         protocol::FencingToken token, bool answered);
    // Requests a stop; the grace of one that is requested already may only be shortened. Returns whether
    // anything changed.
    bool request_stop(Machine& machine, const protocol::TaskId& task, double grace_s);

  private:
    void fence_unacknowledged_runs(Machine& machine);
    void fence_answered_runs(Machine& machine);
    FencingTokens& tokens_;
};

// The machine is to get no command, and its newest report showed all that is known to be on it: a report that
// says the same tells nothing, and its reply holds nothing.
bool nothing_pending(const Machine& machine);

// Whether the reply to the newest heartbeat may renew the lease. The reply stops what the heartbeat shows;
// what it does not show may have started since, by a `run` that was held up, and would live for another lease
// without a command. Direct commands fence that and renew nothing.
bool may_renew_lease(const Machine& machine, double now);

}  // namespace coralhitch::cluster
