// Reads experiment files in TOML. A file is checked completely before any process is started.
#pragma once
#include <string>
#include <vector>

#include "scale/config/experiment.hpp"
#include "scale/config/experiment_error.hpp"

namespace coralhitch::scale {

// A value that replaces the value of a field of the file.
struct Override {
    std::string key;    // name of the field, such as workers or load.teams
    std::string value;  // a TOML value; any other text is used as a string
};

// Parses and checks an experiment. `file` names the text in errors. Throws ExperimentError.
Experiment parse_experiment(const std::string& text, const std::string& file,
                            const std::vector<Override>& overrides = {});
// Reads, parses and checks an experiment file. Throws ExperimentError.
Experiment load_experiment(const std::string& file, const std::vector<Override>& overrides = {});

}  // namespace coralhitch::scale
