// What the teams use, by the picture. Pure.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "fleet/picture.hpp"

namespace coralhitch::fleet {

// By team: the sum of what its tasks take, until each is proven gone. A task of a job that nobody knows any
// more may be of any team, so it counts against each.
std::map<std::string, wire::Room> team_used(const Picture& picture, const std::vector<config::Team>& teams);

}  // namespace coralhitch::fleet
