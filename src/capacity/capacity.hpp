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
    bool spot_wanted = false;  // some live job may use spot machines
};
struct Rent {
    std::string type, zone;
    bool spot = false;
    int count = 0;
};
struct Decisions {
    std::vector<Rent> rents;
    std::vector<std::string> returns;
};

Decisions plan(const Input& in, const config::Settings& settings);

}  // namespace coralhitch::capacity
