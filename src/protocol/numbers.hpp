// The numbers that decide what is newer, and what may still be acted on. Each grows for the lifetime of its
// subject; zero means that there is none.
#pragma once
#include "protocol/strong_number.hpp"

namespace coralhitch::protocol {

// Commands carry one; an agent drops all that come under a lower one than it has seen. Made of the version of
// the leader's key and a counter of each machine: see cluster::FencingTokens.
using FencingToken = StrongNumber<struct FencingTokenTag>;

}  // namespace coralhitch::protocol
