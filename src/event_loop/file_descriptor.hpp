// An owned file descriptor.
#pragma once

namespace coralhitch::event_loop {

// Closes its descriptor when it is destroyed or gets another one. Movable, not copyable.
class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& other) noexcept : fd_(other.release()) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) reset(other.release());
        return *this;
    }
    ~Fd() { reset(); }

    // -1: none.
    [[nodiscard]] int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    // Gives up ownership without closing.
    [[nodiscard]] int release() {
        const int fd = fd_;
        fd_ = -1;
        return fd;
    }
    // Closes the descriptor and takes over `fd`.
    void reset(int fd = -1);

  private:
    int fd_ = -1;
};

}  // namespace coralhitch::event_loop
