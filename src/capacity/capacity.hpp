// What to rent and what to return: a pure function of machines and unmet need.
#pragma once
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "config/settings.hpp"
#include "wire/model.hpp"

namespace coralhitch::capacity {

using Pool = std::tuple<std::string, std::string, bool>;  // type, zone, spot

struct MachineView {
    std::string id, type, zone;
    bool spot = false, booting = false;
    wire::Room total, free;
    bool empty = false;
    bool draining = false;  // lately chosen to be emptied
    int tasks = 0, services = 0;
    double idle_for = 0;
};
struct Need {
    const wire::Job* job = nullptr;
    std::size_t count = 0;
    std::map<std::string, int> zones;
};
struct Input {
    std::vector<wire::MachineType> types;
    std::vector<MachineView> machines;
    std::vector<Need> needs;
    std::set<Pool> refused;  // lately without capacity
};
struct Rent {
    std::string type, zone;
    bool spot = false;
    int count = 0;
};
struct Decisions {
    std::vector<Rent> rents;
    std::vector<std::string> returns;
    std::set<std::string> drains;  // surplus: nothing new goes there while there is room elsewhere
};

Decisions plan(const Input& in, const config::Settings& settings);

}  // namespace coralhitch::capacity
