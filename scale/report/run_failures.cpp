#include "scale/report/run_failures.hpp"

namespace coralhitch::scale {

std::vector<std::string> run_failures(const nlohmann::json& summary) {
    std::vector<std::string> failures;
    auto& end = summary.at("end");
    auto count = [&](const char* key) { return end.at(key).get<double>(); };
    for (auto& rule : end.at("broken")) failures.push_back("rule broken: " + rule.get<std::string>());
    if (count("tasks_begun") == 0) failures.emplace_back("no task was started");
    if (count("tasks_done") == 0) failures.emplace_back("no task was completed");
    if (count("done") == 0) failures.emplace_back("no user received the answer that a job is done");
    if (count("refused") > 0) failures.emplace_back("jobs were refused as malformed or impossible to run");
    return failures;
}

}  // namespace coralhitch::scale
