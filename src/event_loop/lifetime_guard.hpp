// Callbacks that do nothing once the object that they belong to is gone.
#pragma once
#include <memory>
#include <utility>

namespace coralhitch::event_loop {

class LifetimeGuard {
  public:
    template <class F>
    auto operator()(F f) const {
        return [alive = std::weak_ptr<int>(alive_), f = std::move(f)](auto&&... a) mutable {
            if (!alive.expired()) f(std::forward<decltype(a)>(a)...);
        };
    }

  private:
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coralhitch::event_loop
