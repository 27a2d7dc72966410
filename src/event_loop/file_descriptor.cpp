#include "event_loop/file_descriptor.hpp"

#include <unistd.h>

namespace coralhitch::event_loop {

void Fd::reset(int fd) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
}

}  // namespace coralhitch::event_loop
