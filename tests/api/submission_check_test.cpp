// SubmissionCheck: finds the jobs that can never run, and the reason.
#include "api/submission_check.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "protocol/model.hpp"

namespace coralhitch::api {
namespace {

TEST(SubmissionCheck, SaysWhyAJobCanNeverRun) {
    config::Settings settings;
    settings.teams = {{"t", 0, 8, 8, 16}};
    const std::vector<protocol::MachineType> types = {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"z1"}}};
    struct Case {
        const char* name;
        std::function<void(protocol::Job&)> change;
        SubmissionCheck expected;
    };
    const Case cases[] = {
        {"fits", [](auto&) {}, SubmissionCheck::runnable},
        {"unknown team", [](auto& j) { j.team = "x"; }, SubmissionCheck::unknown_team},
        {"too large for any type", [](auto& j) { j.request.gpus = 5; },
         SubmissionCheck::no_fitting_machine_type},
        {"fills a machine",
         [](auto& j) {
             j.request = {8, 4, 64};
         },
         SubmissionCheck::runnable},
        {"a type that does not exist", [](auto& j) { j.types = {"nope"}; },
         SubmissionCheck::no_fitting_machine_type},
        {"one of the types exists",
         [](auto& j) {
             j.types = {"nope", "g4"};
         },
         SubmissionCheck::runnable},
        {"no types allowed", [](auto& j) { j.types = std::vector<std::string>{}; },
         SubmissionCheck::no_fitting_machine_type},
        {"a zone that does not exist", [](auto& j) { j.zone = "z9"; },
         SubmissionCheck::no_fitting_machine_type},
        {"an array larger than the limit runs a few tasks at a time", [](auto& j) { j.tasks = 1000; },
         SubmissionCheck::runnable},
        {"a gang larger than the limit never runs",
         [](auto& j) {
             j.kind = protocol::JobKind::gang;
             j.tasks = 17;
         },
         SubmissionCheck::exceeds_team_limit},
        {"a service at the limit",
         [](auto& j) {
             j.kind = protocol::JobKind::service;
             j.tasks = 8;
         },
         SubmissionCheck::runnable},
        {"a service beyond the limit",
         [](auto& j) {
             j.kind = protocol::JobKind::service;
             j.tasks = 9;
         },
         SubmissionCheck::exceeds_team_limit},
    };
    for (auto& c : cases) {
        protocol::Job j;
        j.team = "t";
        j.request = {1, 1, 1};
        c.change(j);
        auto check = check_submission(j, types, settings);
        EXPECT_EQ(check, c.expected) << c.name;
        EXPECT_EQ(reason_of(check).empty(), check == SubmissionCheck::runnable) << c.name;
    }
}

TEST(SubmissionCheck, KeepsEachExistingTypeOnce) {
    const std::vector<protocol::MachineType> types = {{"a", {}, 0, 0, 0, 0, 0, {}},
                                                      {"b", {}, 0, 0, 0, 0, 0, {}}};
    protocol::Job job;
    normalize_allowed_types(job, types);
    EXPECT_FALSE(job.types);  // any type is allowed
    job.types = {"b", "x", "a", "b"};
    normalize_allowed_types(job, types);
    EXPECT_EQ(job.types, (std::vector<std::string>{"a", "b"}));
}

}  // namespace
}  // namespace coralhitch::api
