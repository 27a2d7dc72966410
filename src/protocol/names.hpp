// The names of enum values on the wire. Used only by this package and by the other side of the protocol in
// scale/protocol/.
#pragma once
#include <array>
#include <string>
#include <string_view>

#include "protocol/malformed.hpp"
#include "protocol/model.hpp"

namespace coralhitch::protocol {

// Maximum length in bytes of a string that is stored or used in a key, so that no record exceeds the size
// limit of the key-value store.
inline constexpr std::size_t max_text = 512;

// Throws Malformed for a field of a message or record.
[[noreturn]] inline void throw_malformed(const char* field, const char* what) {
    throw Malformed(std::string("field '") + field + "' " + what);
}

// An enum value and its name on the wire.
template <class E>
struct Name {
    E value;
    std::string_view name;
};
template <class E, std::size_t N>
using Names = std::array<Name<E>, N>;

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

// Returns the wire name of a value; empty if the table has none.
template <class E, std::size_t N>
std::string_view name_of(const Names<E, N>& names, E value) {
    for (auto& entry : names)
        if (entry.value == value) return entry.name;
    return {};
}
// Returns the value with this wire name. Throws Malformed, which names the field, if there is none.
template <class E, std::size_t N>
E named(const Names<E, N>& names, const std::string& text, const char* field) {
    for (auto& entry : names)
        if (entry.name == text) return entry.value;
    throw Malformed(std::string("field '") + field + "' has an unknown value");
}

}  // namespace coralhitch::protocol
