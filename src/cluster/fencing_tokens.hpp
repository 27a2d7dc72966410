// Fencing tokens of one leadership. An agent drops every command under a token lower than the highest it has
// seen. Each machine has a token of its own, which is raised to fence single commands.
#pragma once
#include <algorithm>
#include <cstdint>

#include "cluster/machine.hpp"

namespace coralhitch::cluster {

class FencingTokens {
  public:
    // The version of the leadership's key above, a counter for each machine below.
    static constexpr int token_bits = 20;
    static constexpr std::uint64_t tokens_per_leadership = 1ull << token_bits;
    // Enough for what is raised between `nearly_exhausted` and the end of the leadership.
    static constexpr std::uint64_t spare_tokens = tokens_per_leadership / 16;

    explicit FencingTokens(std::uint64_t leadership_version)
        : base_(leadership_version << token_bits), highest_(base_) {}

    // The lowest token of this leadership.
    std::uint64_t base() const { return base_; }
    // Whoever shows this token has had a message of this leader, or of a later one.
    bool since_leadership_began(std::uint64_t token) const { return token >= base_; }
    bool of_later_leadership(std::uint64_t token) const { return token >= base_ + tokens_per_leadership; }
    // Commands to the machine carry a token above this one from now on.
    void raise(Machine& machine, std::uint64_t above) {
        if (machine.token > above) return;
        machine.token = above + 1;
        highest_ = std::max(highest_, machine.token);
    }
    // A machine's token comes near to where a later leadership's may begin: this one must end before that.
    bool nearly_exhausted() const { return highest_ - base_ >= tokens_per_leadership - spare_tokens; }

  private:
    std::uint64_t base_, highest_;
};

}  // namespace coralhitch::cluster
