#include "scale/process/child_process.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <deque>
#include <fstream>
#include <sstream>

#include "scale/config/experiment_error.hpp"

namespace coralhitch::scale {
namespace {
std::uint64_t status_kb(pid_t pid, const char* field) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line))
        if (line.starts_with(field)) return std::stoull(line.substr(std::strlen(field) + 1));
    return 0;
}
double cpu_seconds(pid_t pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    auto after_name = text.rfind(')');
    if (after_name == std::string::npos) return -1;
    std::istringstream fields(text.substr(after_name + 2));
    std::string skipped;
    constexpr int fields_before_utime = 11;
    for (int k = 0; k < fields_before_utime; ++k) fields >> skipped;
    double user = 0, system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}
std::uint32_t count_sockets(pid_t pid) {
    auto dir = "/proc/" + std::to_string(pid) + "/fd";
    DIR* d = ::opendir(dir.c_str());
    if (!d) return 0;
    std::uint32_t n = 0;
    char target[64];
    while (auto* entry = ::readdir(d)) {
        auto length = ::readlink((dir + "/" + entry->d_name).c_str(), target, sizeof target);
        n += length > 7 && std::memcmp(target, "socket:", 7) == 0;
    }
    ::closedir(d);
    return n;
}
[[noreturn]] void become(const std::vector<std::string>& arguments, int log, pid_t parent) {
    // In the child, between fork and exec: system calls only.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(126);
    ::setpgid(0, 0);  // a terminal's interrupt goes to the driver alone, which ends the others
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::vector<char*> argv;
    for (auto& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
}
}  // namespace

ChildProcess::ChildProcess(std::string name, const std::vector<std::string>& arguments,
                           const std::string& log)
    : name_(std::move(name)), log_(log) {
    int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd < 0) throw ExperimentError(log + ": " + std::strerror(errno));
    pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) become(arguments, fd, parent);
    ::close(fd);
    if (pid_ < 0) throw ExperimentError("can't start " + name_ + ": " + std::strerror(errno));
}
void ChildProcess::end() {
    if (pid_ < 0) return;
    usage();
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
    how_ = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                               : "with status " + std::to_string(WEXITSTATUS(status));
    pid_ = -1;
    return true;
}
ProcessUsage ChildProcess::usage() const {
    if (pid_ < 0) return last_;
    double cpu = cpu_seconds(pid_);
    if (cpu < 0) return last_;
    constexpr std::uint64_t kb = 1024;
    last_ = {cpu, status_kb(pid_, "VmRSS:") * kb, status_kb(pid_, "VmHWM:") * kb, count_sockets(pid_)};
    return last_;
}

std::uint64_t machine_memory_bytes() {
    return static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES)) *
           static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}
std::uint64_t raise_descriptor_limit() {
    rlimit l{};
    ::getrlimit(RLIMIT_NOFILE, &l);
    l.rlim_cur = l.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &l);
    ::getrlimit(RLIMIT_NOFILE, &l);
    return l.rlim_cur;
}
std::string tail(const std::string& file, std::size_t lines) {
    std::ifstream in(file);
    std::deque<std::string> last;
    std::string line;
    while (std::getline(in, line)) {
        last.push_back(line);
        if (last.size() > lines) last.pop_front();
    }
    std::string out;
    for (auto& l : last) out += "    " + l + "\n";
    return out;
}

}  // namespace coralhitch::scale
