// Guards the callbacks of the leader's parts. A guarded callback does nothing once the leadership has ended.
// It keeps the leader alive while it runs, even if it ends the leadership itself.
#pragma once
#include <memory>
#include <utility>

#include "leader/authority.hpp"

namespace coralhitch::leader {

// Wraps callbacks. The result of `guarded(f)` takes the arguments of `f`, and may be called at any later
// time.
class CallbackGuard {
  public:
    explicit CallbackGuard(const Authority& authority) : authority_(authority) {}
    // Sets the leader that owns the parts. Must be called once, before the first callback is wrapped.
    void bind(std::weak_ptr<void> leader) { leader_ = std::move(leader); }

    // Returns a pointer that keeps the leader alive, for work on another thread. Null if the leader is gone.
    [[nodiscard]] std::shared_ptr<void> owner() const { return leader_.lock(); }

    // Returns a callback that calls `f`, unless the leader is gone or the leadership has ended.
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
