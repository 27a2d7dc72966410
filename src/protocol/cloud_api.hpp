// Messages between controllers and the cloud: machine types, rental, deletion, lists of machines.
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
// Returns the path of a page of at most `limit` machines whose ids sort after `after`; an empty `after` asks
// for the first page.
std::string host_list(std::string_view after, int limit);
}  // namespace paths

// The parse functions throw Malformed.
std::vector<MachineType> parse_types(std::string_view body);
// Returns the body of a request to rent `count` machines. `name` is an idempotency key that never expires:
// the cloud answers a repeated request without renting again.
std::string rent_request(std::string_view name, std::string_view type, std::string_view zone, bool spot,
                         int count);
// Returns the ids of the machines that were rented.
std::vector<std::string> parse_rented(std::string_view body);
// Returns the body of a request to delete machines.
std::string delete_request(std::span<const std::string> machines);

// One page of the cloud's list of machines.
struct HostPage {
    std::vector<Host> hosts;
    bool more = false;  // further pages follow
};
HostPage parse_hosts(std::string_view body);

}  // namespace coralhitch::protocol
