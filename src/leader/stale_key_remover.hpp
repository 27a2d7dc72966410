// Keys at the key-value store that mean nothing any more, such as the progress of jobs that are over: removed
// when there is time, some at a time, at the priority of what no user waits for.
//
// Owns the set of these keys. On the event loop's thread.
#pragma once
#include <set>
#include <string>

#include "kv/kv_client.hpp"
#include "leader/leader_part.hpp"

namespace coralhitch::leader {

// Removes keys that are given to it, when the key-value store has time.
class StaleKeyRemover : private LeaderPart {
  public:
    StaleKeyRemover(const PartContext& context, kv::KvClient& kv);
    // The key is to be removed some time.
    void add(const std::string& key) { keys_.insert(key); }
    // Sends the next transaction, if one is due, none is under way and the leader may act. Each tick.
    void remove_some();

  private:
    kv::KvClient& kv_;
    std::set<std::string> keys_;
    bool in_flight_ = false;
};

}  // namespace coralhitch::leader
