// The directory for settings and logs of one run.
#pragma once
#include <string>

namespace coralhitch::scale {

// A new directory below the temporary directory. The destructor removes it unless `keep` is set.
class WorkDirectory {
  public:
    // Throws ExperimentError if the directory can't be created.
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
