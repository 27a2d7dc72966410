// Fencing tokens of one leadership. An agent drops every command whose token is lower than the highest that
// the agent has seen. Each machine has its own current token, which is raised to fence individual commands.
#pragma once
#include <algorithm>
#include <cstdint>

#include "cluster/machine.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

// The range of tokens that one leadership may use. A token holds the version of the leader key in its upper
// bits and a counter, separate for each machine, in its lower `token_bits` bits.
class FencingTokens {
  public:
    static constexpr int token_bits = 20;
    static constexpr std::uint64_t tokens_per_leadership = 1ull << token_bits;
    // Reserve for the raises between the time when `nearly_exhausted` becomes true and the end of the
    // leadership.
    static constexpr std::uint64_t spare_tokens = tokens_per_leadership / 16;

    explicit FencingTokens(protocol::LeaderVersion leadership_version)
        : base_(leadership_version.value() << token_bits), highest_(base_) {}

    // Returns the lowest token of this leadership.
    protocol::FencingToken base() const { return base_; }
    // Returns the highest token that any earlier leadership may have used.
    protocol::FencingToken highest_before() const { return protocol::FencingToken{base_.value() - 1}; }
    // Returns the version of the leader key of the leadership that `token` belongs to.
    static protocol::LeaderVersion leadership_version(protocol::FencingToken token) {
        return protocol::LeaderVersion{token.value() >> token_bits};
    }
    // Returns true if an agent that shows `token` has received a message of this leader or of a later one.
    bool is_from_this_leader_or_later(protocol::FencingToken token) const { return token >= base_; }
    // Returns true if `token` belongs to a later leadership, which means that this leader has been deposed.
    bool is_from_later_leader(protocol::FencingToken token) const {
        return token.value() >= base_.value() + tokens_per_leadership;
    }
    // Raises the machine's token, if necessary, so that later commands to it carry a token greater than
    // `above`.
    void raise(Machine& machine, protocol::FencingToken above) {
        if (machine.token > above) return;
        machine.token = above.next();
        highest_ = std::max(highest_, machine.token);
    }
    // Returns true if the token of some machine approaches the range of the next leadership. This leadership
    // must end before it gets there.
    bool nearly_exhausted() const {
        return highest_.value() - base_.value() >= tokens_per_leadership - spare_tokens;
    }

  private:
    protocol::FencingToken base_, highest_;
};

}  // namespace coralhitch::cluster
