// An owned file descriptor.
#pragma once

namespace coralhitch::event_loop {

// Owns a file descriptor, and closes it on destruction or when another descriptor is assigned. Movable, not
// copyable.
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

    // Returns the descriptor, or -1 if there is none.
    [[nodiscard]] int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    // Returns the descriptor and gives up ownership without closing it.
    [[nodiscard]] int release() {
        const int fd = fd_;
        fd_ = -1;
        return fd;
    }
    // Closes the current descriptor and takes ownership of `fd`.
    void reset(int fd = -1);

  private:
    int fd_ = -1;
};

}  // namespace coralhitch::event_loop
