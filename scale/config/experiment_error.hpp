// The one exception of the load tool that its user is meant to read.
#pragma once
#include <stdexcept>

namespace coralhitch::scale {

// A run can't be made, or was broken off. Says what is wrong, for whoever wrote the experiment or started the
// run.
struct ExperimentError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace coralhitch::scale
