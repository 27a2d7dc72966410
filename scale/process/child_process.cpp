#include "scale/process/child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <deque>
#include <fstream>

#include "scale/config/experiment_error.hpp"

namespace coralhitch::scale {
namespace {

constexpr int parent_has_ended = 126, cannot_execute = 127;  // exit statuses like those of a shell

// Runs in the child between fork and exec, so it makes only system calls and uses only its own memory.
[[noreturn]] void exec_child(const std::vector<std::string>& arguments, int log, pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(parent_has_ended);
    ::setpgid(0, 0);  // a terminal's interrupt reaches only the parent, which ends its children
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(cannot_execute);
}

}  // namespace

ChildProcess::ChildProcess(std::string name, const std::vector<std::string>& arguments,
                           const std::string& log)
    : name_(std::move(name)), log_(log) {
    int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd < 0) throw ExperimentError(log + ": " + std::strerror(errno));
    pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) exec_child(arguments, fd, parent);
    ::close(fd);
    if (pid_ < 0) throw ExperimentError("can't start " + name_ + ": " + std::strerror(errno));
}

void ChildProcess::kill_and_wait() {
    if (pid_ < 0) return;
    last_usage_ = usage();
    ::kill(pid_, SIGKILL);
    int status = 0;
    while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
    }
    pid_ = -1;
}

bool ChildProcess::has_ended() {
    if (pid_ < 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    end_reason_ = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                      : "with status " + std::to_string(WEXITSTATUS(status));
    pid_ = -1;
    return true;
}

ProcessUsage ChildProcess::usage() const {
    if (pid_ < 0) return last_usage_;
    if (auto usage = read_usage(pid_)) last_usage_ = *usage;
    return last_usage_;
}

std::uint64_t raise_descriptor_limit() {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

std::string last_lines(const std::string& file, std::size_t lines) {
    std::ifstream in(file);
    std::deque<std::string> last;
    std::string line;
    while (std::getline(in, line)) {
        last.push_back(line);
        if (last.size() > lines) last.pop_front();
    }
    std::string out;
    for (auto& kept : last) out.append("    ").append(kept).append("\n");
    return out;
}

}  // namespace coralhitch::scale
