// The numbers that decide what is newer, whose it is, and what may still be acted on. Zero means that there
// is none.
#pragma once
#include "protocol/strong_number.hpp"

namespace coralhitch::protocol {

// Commands carry one; an agent drops all that come under a lower one than it has seen. Made of the version of
// the leader's key and a counter of each machine: see cluster::FencingTokens.
using FencingToken = StrongNumber<struct FencingTokenTag>;

// Which leadership: the version of the leader's key as it claimed it, the key-value store's revision of that.
// A later leadership has a higher one. What machines are shown is the fencing token, which is far larger.
using LeaderVersion = StrongNumber<struct LeaderVersionTag>;

// Which life of a machine's agent: the agent begins a higher one with no tasks, after it has killed those of
// the last. A machine that was set up anew may begin with low ones again.
using AgentEpoch = StrongNumber<struct AgentEpochTag>;

// Of the reports within an agent epoch: each carries a higher one. Of two reports of a machine the one with
// the larger (agent epoch, sequence number) is newer.
using SequenceNumber = StrongNumber<struct SequenceNumberTag>;

// Which process of a controller: drawn at random at its start, so neither of two is the newer one.
using Incarnation = StrongNumber<struct IncarnationTag>;

// One try to run a task, or all tasks of a gang: each is used once, and a later try has a higher one, also
// under a later leadership. See leader::AttemptNumbers.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

}  // namespace coralhitch::protocol
