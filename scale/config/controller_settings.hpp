// Writes the settings files with which the controllers of an experiment are started.
#pragma once
#include <cstdint>
#include <string>

#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Returns the platform's settings of one controller as TOML.
std::string controller_settings(const Experiment& experiment, std::uint32_t controller);
// Returns the operators' settings, which all controllers share, in protobuf text format.
std::string operator_settings(const Experiment& experiment);

}  // namespace coralhitch::scale
