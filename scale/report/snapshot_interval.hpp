// Compares two snapshots of all processes and calculates the growth of their counters.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

namespace coralhitch::scale {

// Keeps references to the snapshots, which must outlive this.
class SnapshotInterval {
  public:
    SnapshotInterval(const nlohmann::json& before, const nlohmann::json& after);

    [[nodiscard]] const nlohmann::json& after() const { return after_; }
    [[nodiscard]] double seconds() const { return seconds_; }
    // Returns the growth of the counter at a JSON pointer. If it fell, its process was restarted, and the
    // counter is assumed to have begun at 0.
    [[nodiscard]] double growth(const std::string& pointer) const;
    // Returns the growth per second, rounded.
    [[nodiscard]] double rate(const std::string& pointer) const;
    // Returns the rates of all numbers of the object at a JSON pointer, by name. Returns an empty object if
    // there is no object.
    [[nodiscard]] nlohmann::json rates(const std::string& pointer) const;

  private:
    const nlohmann::json &before_, &after_;
    double seconds_;
};

}  // namespace coralhitch::scale
