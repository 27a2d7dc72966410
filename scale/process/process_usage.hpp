// Resource usage of processes, as the kernel reports it.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <optional>

namespace coralhitch::scale {

// Resource usage of one process. CPU time and peak memory are since its start.
struct ProcessUsage {
    double cpu_s = 0;  // user and system time, not wall-clock time
    std::uint64_t rss_bytes = 0, peak_bytes = 0;
    std::uint32_t sockets = 0;
};

// Returns the usage of a process, or std::nullopt if there is no such process.
std::optional<ProcessUsage> read_usage(pid_t pid);

// Returns the size of the host's memory.
std::uint64_t machine_memory_bytes();

}  // namespace coralhitch::scale
