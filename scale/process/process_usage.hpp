// What the kernel says that a process uses.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <optional>

namespace coralhitch::scale {

// Of one process, since it began.
struct ProcessUsage {
    double cpu_s = 0;  // user and system, as the kernel accounts it; never the time that passed
    std::uint64_t rss_bytes = 0, peak_bytes = 0;
    std::uint32_t sockets = 0;
};

// Nothing if there is no such process.
std::optional<ProcessUsage> read_usage(pid_t pid);

std::uint64_t machine_memory_bytes();

}  // namespace coralhitch::scale
