// A directory for the settings and logs of one run.
#pragma once
#include <string>

namespace coralhitch::scale {

// Below the temporary directory; removed at the end unless it is to be kept.
class WorkDirectory {
  public:
    // Throws ExperimentError if it can't be made.
    explicit WorkDirectory(bool keep);
    ~WorkDirectory();
    WorkDirectory(const WorkDirectory&) = delete;
    WorkDirectory& operator=(const WorkDirectory&) = delete;
    [[nodiscard]] const std::string& path() const { return path_; }

  private:
    std::string path_;
    bool keep_;
};

}  // namespace coralhitch::scale
