// The leader object of this process, while this controller leads.
//
// `Controller` alone begins and ends it; all other parts ask whether there is one and call its public
// functions. It may be gone after any call that returns to the event loop: don't keep the pointer.
#pragma once
#include <memory>
#include <utility>

#include "leader/leader.hpp"

namespace coralhitch::controller {

// Holds the leader object, or none.
class LocalLeader {
  public:
    // This controller leads from now on.
    void begin(std::shared_ptr<leader::Leader> leader) {
        leader_ = std::move(leader);
        leader_->start();
    }
    // Nothing if this controller does not lead.
    void end() {
        if (leader_) leader_->stop();
        leader_.reset();
    }
    // Whether this controller leads; only then may the leader be called.
    explicit operator bool() const { return leader_ != nullptr; }
    leader::Leader* operator->() const { return leader_.get(); }

  private:
    std::shared_ptr<leader::Leader> leader_;
};

}  // namespace coralhitch::controller
