// Gives access to the leader object of this process, which exists while this controller leads.
//
// Only `Controller` sets and removes the leader object. All other components check that there is one and call
// its public functions. They must not keep the pointer, because the leader object may be removed whenever
// control returns to the event loop.
#pragma once
#include <memory>
#include <utility>

#include "leader/leader.hpp"

namespace coralhitch::controller {

// An owner of the leader object; empty while this controller does not lead. Not thread safe.
class LocalLeader {
  public:
    // Stores and starts the leader object of a new leadership.
    void start_leading(std::shared_ptr<leader::Leader> leader) {
        leader_ = std::move(leader);
        leader_->start();
    }
    // Stops and removes the leader object. Does nothing if this controller does not lead.
    void stop_leading() {
        if (leader_) leader_->stop();
        leader_.reset();
    }
    // Returns true if this controller leads.
    explicit operator bool() const { return leader_ != nullptr; }
    // Returns the leader object. Must not be called while this controller does not lead.
    leader::Leader* operator->() const { return leader_.get(); }

  private:
    std::shared_ptr<leader::Leader> leader_;
};

}  // namespace coralhitch::controller
