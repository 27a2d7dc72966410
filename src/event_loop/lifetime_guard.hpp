// Callbacks that do nothing once the object that they belong to is gone.
#pragma once
#include <memory>
#include <utility>

namespace coralhitch::event_loop {

// A member of the object that makes callbacks: `timers.after(1, guarded_([this] { ... }))`. Declared as the
// object's last member, so that it is destroyed first, before what callbacks use. Not thread-safe: callbacks
// run on the thread that destroys the object.
class LifetimeGuard {
  public:
    // Wraps a callback; its arguments are passed on, its result is dropped.
    template <class Callback>
    [[nodiscard]] auto operator()(Callback callback) const {
        return [alive = std::weak_ptr<int>(alive_), callback = std::move(callback)](auto&&... args) mutable {
            if (!alive.expired()) callback(std::forward<decltype(args)>(args)...);
        };
    }

  private:
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coralhitch::event_loop
