// The exception whose text the load tool shows to its user.
#pragma once
#include <stdexcept>

namespace coralhitch::scale {

// Reports that a run can't be started or was aborted. The text says what is wrong, for the user who wrote the
// experiment or started the run.
struct ExperimentError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace coralhitch::scale
