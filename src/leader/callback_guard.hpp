// Callbacks of the leader's parts: they do nothing once the leadership is over, and keep the leader alive
// while they run, also when what they do ends the leadership.
#pragma once
#include <memory>
#include <utility>

#include "leader/authority.hpp"

namespace coralhitch::leader {

// Wraps a callback: `guarded(f)` may be called with the same arguments at any later time.
class CallbackGuard {
  public:
    explicit CallbackGuard(const Authority& authority) : authority_(authority) {}
    // Once, before the first callback is made: the leader that owns the parts.
    void bind(std::weak_ptr<void> leader) { leader_ = std::move(leader); }

    // Keeps the leader alive for as long as it is held: for work on another thread.
    [[nodiscard]] std::shared_ptr<void> owner() const { return leader_.lock(); }

    template <class F>
    auto operator()(F f) const {
        return [leader = leader_, &authority = authority_, f = std::move(f)](auto&&... arguments) mutable {
            auto alive = leader.lock();
            if (alive && !authority.ended()) f(std::forward<decltype(arguments)>(arguments)...);
        };
    }

  private:
    const Authority& authority_;
    std::weak_ptr<void> leader_;
};

}  // namespace coralhitch::leader
