#include "scale/process/process_usage.hpp"

#include <dirent.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>

namespace coralhitch::scale {
namespace {

constexpr std::uint64_t bytes_per_kb = 1024;

std::string proc_path(pid_t pid, const char* name) {
    std::string path = "/proc/";
    return path.append(std::to_string(pid)).append("/").append(name);
}

std::uint64_t status_bytes(pid_t pid, const char* field) {
    std::ifstream in(proc_path(pid, "status"));
    std::string line;
    while (std::getline(in, line))
        if (line.starts_with(field)) return std::stoull(line.substr(std::strlen(field) + 1)) * bytes_per_kb;
    return 0;
}

std::optional<double> cpu_seconds(pid_t pid) {
    std::ifstream in(proc_path(pid, "stat"));
    std::string text;
    std::getline(in, text);
    auto after_name = text.rfind(')');
    if (after_name == std::string::npos) return std::nullopt;
    std::istringstream fields(text.substr(after_name + 2));
    std::string skipped;
    constexpr int fields_before_user_time = 11;
    for (int field = 0; field < fields_before_user_time; ++field) fields >> skipped;
    double user = 0, system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::uint32_t count_sockets(pid_t pid) {
    constexpr std::string_view socket_start = "socket:";
    auto path = proc_path(pid, "fd");
    std::unique_ptr<DIR, int (*)(DIR*)> directory(::opendir(path.c_str()), ::closedir);
    if (!directory) return 0;
    std::uint32_t count = 0;
    char target[64];
    while (auto* entry = ::readdir(directory.get())) {
        auto link = path;
        auto length = ::readlink(link.append("/").append(entry->d_name).c_str(), target, sizeof target);
        if (length > 0)
            count += std::string_view(target, static_cast<std::size_t>(length)).starts_with(socket_start);
    }
    return count;
}

}  // namespace

std::optional<ProcessUsage> read_usage(pid_t pid) {
    auto cpu_s = cpu_seconds(pid);
    if (!cpu_s) return std::nullopt;
    return ProcessUsage{*cpu_s, status_bytes(pid, "VmRSS:"), status_bytes(pid, "VmHWM:"), count_sockets(pid)};
}

std::uint64_t machine_memory_bytes() {
    return static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES)) *
           static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace coralhitch::scale
