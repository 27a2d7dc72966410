#include "scale/report/snapshot_interval.hpp"

#include "scale/report/json_numbers.hpp"

namespace coralhitch::scale {
using nlohmann::json;

SnapshotInterval::SnapshotInterval(const json& before, const json& after)
    : before_(before), after_(after), seconds_(number_at(after, "/t") - number_at(before, "/t")) {}

double SnapshotInterval::growth(const std::string& pointer) const {
    double before = number_at(before_, pointer), after = number_at(after_, pointer);
    return after < before ? after : after - before;
}

double SnapshotInterval::rate(const std::string& pointer) const {
    return rounded(growth(pointer) / seconds_);
}

json SnapshotInterval::rates(const std::string& pointer) const {
    json out = json::object();
    json::json_pointer place(pointer);
    if (!after_.contains(place)) return out;
    for (auto& [name, value] : after_.at(place).items()) {
        if (!value.is_number()) continue;
        auto counter = pointer;
        out[name] = rate(counter.append("/").append(name));
    }
    return out;
}

}  // namespace coralhitch::scale
