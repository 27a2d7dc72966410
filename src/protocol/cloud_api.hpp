// What controllers and the cloud say to each other: machine types, rental, deletion, lists of machines.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/malformed.hpp"
#include "protocol/model.hpp"

namespace coralhitch::protocol {

namespace paths {
inline constexpr std::string_view types = "/flavors";
inline constexpr std::string_view hosts = "/hosts";
inline constexpr std::string_view hosts_delete = "/hosts/delete";
// A page of at most `limit` machines whose names come after `after`.
std::string host_list(std::string_view after, int limit);
}  // namespace paths

// Throws Malformed; so do the others that parse.
std::vector<MachineType> parse_types(std::string_view body);
// `name` identifies the request for ever: the cloud answers a repetition without renting again.
std::string rent_request(std::string_view name, std::string_view type, std::string_view zone, bool spot,
                         int count);
// The names of the machines that were rented.
std::vector<std::string> parse_rented(std::string_view body);
std::string delete_request(std::span<const std::string> machines);

struct HostPage {
    std::vector<Host> hosts;
    bool more = false;  // there are others after these
};
HostPage parse_hosts(std::string_view body);

}  // namespace coralhitch::protocol
