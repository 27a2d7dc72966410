// Removes keys that are no longer needed from the key-value store, such as the progress of jobs that have
// ended. No user waits for this, so the removal runs in small transactions at background priority.
//
// StaleKeyRemover owns the set of these keys, and runs on the event loop's thread.
#pragma once
#include <set>
#include <string>

#include "kv/kv_client.hpp"
#include "leader/leader_part.hpp"

namespace coralhitch::leader {

// Removes the keys that are added to it, at background priority.
class StaleKeyRemover : private LeaderPart {
  public:
    StaleKeyRemover(const PartContext& context, kv::KvClient& kv);
    // Adds a key to be removed at a later time.
    void add(const std::string& key) { keys_.insert(key); }
    // Sends the next transaction, if there are keys to remove, none is in flight and the leader has the
    // authority to act. Keys stay in the set until their removal has been committed. Called each tick.
    void remove_some();

  private:
    kv::KvClient& kv_;
    std::set<std::string> keys_;
    bool in_flight_ = false;
};

}  // namespace coralhitch::leader
