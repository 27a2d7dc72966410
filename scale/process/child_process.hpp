// ChildProcess processes that end with their parent, and what the kernel says they used.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace coralhitch::scale {

// Of one process, since it began.
struct ProcessUsage {
    double cpu_s = 0;  // user and system, as the kernel accounts it; never the time that passed
    std::uint64_t rss_bytes = 0, peak_bytes = 0;
    std::uint32_t sockets = 0;
};

class ChildProcess {
  public:
    // Starts `arguments`, the first of which is the program, with standard error and output into `log`. It is
    // killed when this process ends, however that ends. Throws ExperimentError if it can't be started.
    ChildProcess(std::string name, const std::vector<std::string>& arguments, const std::string& log);
    ~ChildProcess() { end(); }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void end();  // kills it and waits; nothing if it has ended
    // Whether it has ended by itself; how() says by what.
    bool has_ended();
    const std::string& how() const { return how_; }
    const std::string& name() const { return name_; }
    const std::string& log() const { return log_; }
    pid_t pid() const { return pid_; }
    ProcessUsage usage() const;  // of one that has ended: as last asked

  private:
    std::string name_, log_, how_;
    pid_t pid_ = -1;
    mutable ProcessUsage last_;
};

std::uint64_t machine_memory_bytes();
// Raises the soft limit of descriptors to the hard one. Returns it.
std::uint64_t raise_descriptor_limit();
// The last lines of a file, for a message.
std::string tail(const std::string& file, std::size_t lines);

}  // namespace coralhitch::scale
