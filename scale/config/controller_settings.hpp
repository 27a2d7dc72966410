// The files that the controllers of an experiment are started with.
#pragma once
#include <cstdint>
#include <string>

#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// The platform's settings of one controller: TOML.
std::string controller_settings(const Experiment& experiment, std::uint32_t controller);
// The operators' settings, the same for all: protobuf text format.
std::string operator_settings(const Experiment& experiment);

}  // namespace coralhitch::scale
