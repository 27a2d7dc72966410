// The leader's side of hearing: which machines another controller may answer, and until when it can do so.
// Bookkeeping only; times are of the leader's clock, in seconds.
//
// What safety needs of it is one bound: the last moment at which a relay can have renewed a machine's lease
// (`renewed`). A relay answers on its own only while its grant lasts, and a grant is counted at the relay
// from the sending of the message that the grant answers, so it is over there before `grant_until` here. A
// machine that is recalled is named in every answer until the relay says that it took one of them in; an
// answer with a later grant names it too, so without the recall no later grant is held either.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace coralhitch::relay {

class DelegationTable {
  public:
    using GivenBack = std::function<void(const std::string& machine, double renewed_until)>;
    // A message of a relay has come; the revocations that it took in need not be told again. One that was
    // started anew remembers nothing, so its machines are given back. False if the message is older than one
    // that came before.
    bool heard(const std::string& relay_label, std::uint64_t incarnation, std::uint64_t number,
               std::uint64_t answered, const GivenBack& given_back);
    void delegate(const std::string& machine, const std::string& relay_label);
    // From now on its reports must come here. Returns until when the relay may still renew its lease;
    // nothing if it was lent to nobody.
    std::optional<double> revoke(const std::string& machine);
    bool delegated_to(const std::string& machine, const std::string& relay_label) const;
    // The last moment at which a relay can have renewed this machine's lease; `own` if it is lent to none.
    double renewed(const std::string& machine, double own) const;

    // For the answer to a relay: a grant that ends then, and what it must give back.
    std::vector<std::string> answer(const std::string& relay_label, double grant_until);
    std::size_t count(const std::string& relay_label) const;
    std::size_t count() const { return delegations_.size(); }
    // The relay with a grant that answers the fewest machines, if it answers less than `most`.
    std::optional<std::string> least(double now, std::size_t most) const;

  private:
    struct HeartbeatRelay {
        std::uint64_t incarnation = 0, number = 0;
        double grant_until = -1;
        std::size_t machines = 0;
        std::deque<std::pair<std::uint64_t, std::string>>
            revocations;  // each first told with this number or later
    };
    std::map<std::string, HeartbeatRelay> relays_;
    std::unordered_map<std::string, std::string> delegations_;  // machine to relay
};

}  // namespace coralhitch::relay
