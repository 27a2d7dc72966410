#include "scale/runner/work_directory.hpp"

#include <cstdlib>
#include <filesystem>

#include "scale/config/experiment_error.hpp"

namespace coralhitch::scale {

WorkDirectory::WorkDirectory(bool keep) : keep_(keep) {
    auto pattern = (std::filesystem::temp_directory_path() / "coralhitch-scale-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw ExperimentError("can't make a directory like " + pattern);
    path_ = pattern;
}

WorkDirectory::~WorkDirectory() {
    std::error_code ignored;
    if (!keep_) std::filesystem::remove_all(path_, ignored);
}

}  // namespace coralhitch::scale
