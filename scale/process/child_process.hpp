// Child processes that end with their parent.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "scale/process/process_usage.hpp"

namespace coralhitch::scale {

class ChildProcess {
  public:
    // Starts `arguments`, the first of which is the program, with standard error and output into `log`. It is
    // killed when this process ends, however that ends. Throws ExperimentError if it can't be started.
    ChildProcess(std::string name, const std::vector<std::string>& arguments, const std::string& log);
    ~ChildProcess() { kill_and_wait(); }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Does nothing if it has ended.
    void kill_and_wait();
    // Whether it has ended by itself; end_reason() says by what.
    bool has_ended();
    [[nodiscard]] const std::string& end_reason() const { return end_reason_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& log() const { return log_; }
    // Of one that has ended: as last read.
    [[nodiscard]] ProcessUsage usage() const;

  private:
    std::string name_, log_, end_reason_;
    pid_t pid_ = -1;  // -1: has ended
    mutable ProcessUsage last_usage_;
};

// Raises the soft limit of file descriptors to the hard one. Returns it.
std::uint64_t raise_descriptor_limit();

// The last lines of a file, indented, for a message.
std::string last_lines(const std::string& file, std::size_t lines);

}  // namespace coralhitch::scale
