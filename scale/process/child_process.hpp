// Child processes that are killed when their parent ends.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "scale/process/process_usage.hpp"

namespace coralhitch::scale {

// A child process, killed by the destructor.
class ChildProcess {
  public:
    // Starts the program `arguments[0]` with these arguments, and appends its standard output and error to
    // the file `log`. The kernel kills it when this process ends for any reason. Throws ExperimentError if it
    // can't be started.
    ChildProcess(std::string name, const std::vector<std::string>& arguments, const std::string& log);
    ~ChildProcess() { kill_and_wait(); }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Kills the process and waits for its end. Does nothing if it has ended already.
    void kill_and_wait();
    // Returns true if the process has ended. If it ended by itself, end_reason() describes its exit status or
    // signal.
    bool has_ended();
    [[nodiscard]] const std::string& end_reason() const { return end_reason_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& log() const { return log_; }
    // Returns the present resource usage, or the last known usage if the process has ended.
    [[nodiscard]] ProcessUsage usage() const;

  private:
    std::string name_, log_, end_reason_;
    pid_t pid_ = -1;  // -1 if the process has ended
    mutable ProcessUsage last_usage_;
};

// Raises this process' soft limit of file descriptors to the hard limit. Returns the resulting limit.
std::uint64_t raise_descriptor_limit();

// Returns the last lines of a file, indented, for an error message.
std::string last_lines(const std::string& file, std::size_t lines);

}  // namespace coralhitch::scale
