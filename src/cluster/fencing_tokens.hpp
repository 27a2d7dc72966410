// Fencing tokens of one leadership. An agent drops every command under a token lower than the highest it has
// seen. Each machine has a token of its own, which is raised to fence single commands.
#pragma once
#include <algorithm>
#include <cstdint>

#include "cluster/machine.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

class FencingTokens {
  public:
    // The version of the leadership's key above, a counter for each machine below.
    static constexpr int token_bits = 20;
    static constexpr std::uint64_t tokens_per_leadership = 1ull << token_bits;
    // Enough for what is raised between `nearly_exhausted` and the end of the leadership.
    static constexpr std::uint64_t spare_tokens = tokens_per_leadership / 16;

    explicit FencingTokens(protocol::LeaderVersion leadership_version)
        : base_(leadership_version.value() << token_bits), highest_(base_) {}

    // The lowest token of this leadership.
    protocol::FencingToken base() const { return base_; }
    // No earlier leadership has used a higher one.
    protocol::FencingToken highest_before() const { return protocol::FencingToken{base_.value() - 1}; }
    // The version of the leader's key of the leadership that has used the token.
    static protocol::LeaderVersion leadership_version(protocol::FencingToken token) {
        return protocol::LeaderVersion{token.value() >> token_bits};
    }
    // Whoever shows this token has had a message of this leader, or of a later one.
    bool is_from_this_leader_or_later(protocol::FencingToken token) const { return token >= base_; }
    bool is_from_later_leader(protocol::FencingToken token) const {
        return token.value() >= base_.value() + tokens_per_leadership;
    }
    // Commands to the machine carry a token above this one from now on.
    void raise(Machine& machine, protocol::FencingToken above) {
        if (machine.token > above) return;
        machine.token = above.next();
        highest_ = std::max(highest_, machine.token);
    }
    // A machine's token comes near to where a later leadership's may begin: this one must end before that.
    bool nearly_exhausted() const {
        return highest_.value() - base_.value() >= tokens_per_leadership - spare_tokens;
    }

  private:
    protocol::FencingToken base_, highest_;
};

}  // namespace coralhitch::cluster
