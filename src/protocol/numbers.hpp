// Integer types that order messages, identify their sender and fence off outdated commands. Zero stands for
// "no value".
#pragma once
#include "protocol/strong_number.hpp"

namespace coralhitch::protocol {

// Fencing token that every command carries: an agent rejects commands whose token is lower than the highest
// one it has seen. Composed of the version of the leader's key and a counter for each machine, see
// cluster::FencingTokens.
using FencingToken = StrongNumber<struct FencingTokenTag>;

// Identifies a leadership: the key-value store's revision at which the leader wrote its key. A later
// leadership has a higher one. Machines are sent the fencing token instead, which is a far larger number.
using LeaderVersion = StrongNumber<struct LeaderVersionTag>;

// Counts the sessions of a machine's agent. The agent begins a higher epoch without tasks, after it has
// killed the tasks of the previous epoch. A machine that was set up again may restart from a low number.
using AgentEpoch = StrongNumber<struct AgentEpochTag>;

// Sequence number of a heartbeat, increasing within an agent epoch. Of two heartbeats of a machine, the one
// with the larger pair (agent epoch, sequence number) is newer.
using SequenceNumber = StrongNumber<struct SequenceNumberTag>;

// Identifies a process of a controller. Drawn at random when the process starts, so the order of two
// incarnations has no meaning.
using Incarnation = StrongNumber<struct IncarnationTag>;

// Identifies one attempt to run a task, or all tasks of a gang. Each number is used once, and a later attempt
// has a higher number, also under a later leadership. See leader::AttemptNumbers.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

}  // namespace coralhitch::protocol
