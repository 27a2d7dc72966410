// Callbacks that do nothing after the object that created them is destroyed.
#pragma once
#include <memory>
#include <utility>

namespace coralhitch::event_loop {

// Wraps the callbacks of the object that holds it as a member: `timers.after(1, guarded_([this] { ... }))`.
// Must be the object's last member, so that it is destroyed before the members that the callbacks use. Not
// thread-safe: callbacks must run on the thread that destroys the object.
class LifetimeGuard {
  public:
    // Returns a callback that passes its arguments on as long as the guard exists. The result is dropped.
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
