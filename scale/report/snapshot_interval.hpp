// Two snapshots of all processes, and how much their counters grew between them.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

namespace coralhitch::scale {

// Refers to the snapshots: they must outlive it.
class SnapshotInterval {
  public:
    SnapshotInterval(const nlohmann::json& before, const nlohmann::json& after);

    [[nodiscard]] const nlohmann::json& after() const { return after_; }
    [[nodiscard]] double seconds() const { return seconds_; }
    // Of the counter at a JSON pointer. Counters of a process that was started again begin at nothing.
    [[nodiscard]] double growth(const std::string& pointer) const;
    // Growth a second, rounded.
    [[nodiscard]] double rate(const std::string& pointer) const;
    // Of all numbers of the object at a JSON pointer, by name; empty if there is none.
    [[nodiscard]] nlohmann::json rates(const std::string& pointer) const;

  private:
    const nlohmann::json &before_, &after_;
    double seconds_;
};

}  // namespace coralhitch::scale
