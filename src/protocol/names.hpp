// The words that the protocol uses for values of ours. For the sources of this package, and for the
// protocol's other side in scale/outside.cpp.
#pragma once
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/malformed.hpp"
#include "protocol/model.hpp"

namespace coralhitch::protocol {

// Strings that are stored or used in keys stay short, so that no record can pass the key-value store's limit.
inline constexpr std::size_t max_text = 512;

[[noreturn]] inline void bad(const char* field, const char* what) {
    throw Malformed(std::string("field '") + field + "' " + what);
}

template <class E, std::size_t N>
using Names = std::array<std::pair<E, std::string_view>, N>;

inline constexpr Names<JobKind, 3> kind_names{
    {{JobKind::array, "batch"}, {JobKind::gang, "gang"}, {JobKind::service, "service"}}};
inline constexpr Names<Priority, 4> priority_names{{{Priority::production, "critical"},
                                                    {Priority::high, "high"},
                                                    {Priority::normal, "normal"},
                                                    {Priority::low, "idle"}}};
inline constexpr Names<JobState, 4> job_state_names{{{JobState::queued, "pending"},
                                                     {JobState::running, "running"},
                                                     {JobState::done, "done"},
                                                     {JobState::cancelled, "withdrawn"}}};
inline constexpr Names<TaskState, 5> task_state_names{{{TaskState::fetching, "fetching"},
                                                       {TaskState::waiting, "waiting"},
                                                       {TaskState::running, "running"},
                                                       {TaskState::checkpointing, "flushing"},
                                                       {TaskState::exited, "exited"}}};
inline constexpr Names<ExitCause, 8> cause_names{{{ExitCause::done, "done"},
                                                  {ExitCause::stopped, "halted"},
                                                  {ExitCause::gang_member_lost, "mates_gone"},
                                                  {ExitCause::gang_incomplete, "incomplete"},
                                                  {ExitCause::error, "error"},
                                                  {ExitCause::insufficient_resources, "no_room"},
                                                  {ExitCause::other_attempt_present, "busy"},
                                                  {ExitCause::unknown, "unknown"}}};
inline constexpr Names<CommandKind, 3> command_names{
    {{CommandKind::start, "run"}, {CommandKind::stop, "kill"}, {CommandKind::forget, "clear"}}};
inline constexpr Names<HostState, 3> host_state_names{
    {{HostState::booting, "booting"}, {HostState::running, "running"}, {HostState::failed, "failed"}}};

template <class E, std::size_t N>
std::string_view name_of(const Names<E, N>& names, E e) {
    for (auto& [value, name] : names)
        if (value == e) return name;
    return {};
}
template <class E, std::size_t N>
E named(const Names<E, N>& names, const std::string& text, const char* field) {
    for (auto& [value, name] : names)
        if (name == text) return value;
    throw Malformed(std::string("field '") + field + "' has an unknown value");
}

}  // namespace coralhitch::protocol
