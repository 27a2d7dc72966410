// Experiment files: TOML, checked whole before anything is started.
#pragma once
#include <string>
#include <vector>

#include "scale/config/experiment.hpp"
#include "scale/config/experiment_error.hpp"

namespace coralhitch::scale {

// Another value for a field of the file.
struct Override {
    std::string key;    // such as workers or load.teams
    std::string value;  // TOML; what is none is taken as a string
};

// `file` names the text in errors. Throws ExperimentError.
Experiment parse_experiment(const std::string& text, const std::string& file,
                            const std::vector<Override>& overrides = {});
Experiment load_experiment(const std::string& file, const std::vector<Override>& overrides = {});

}  // namespace coralhitch::scale
