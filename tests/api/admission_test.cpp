// Admission: shares of the teams in the jobs that the key-value store can write.
#include "api/admission.hpp"

#include <gtest/gtest.h>

#include "api/user_api_fixture.hpp"

namespace coralhitch::api {
namespace {

// At the beginning of a day one team submits many jobs at once. They must not be rejected to keep a reserve
// for teams that submit nothing.
TEST(Admission, LetsOneTeamUseTheWholeBurstUnlessOthersAreActive) {
    auto settings = UserApiFixture().settings;
    settings.teams = {{"t1", 0, 0, 0, 0}, {"t2", 0, 0, 0, 0}};
    double rate = settings.kv_write_rps * 0.9 / Admission::writes_per_job / settings.nodes;
    auto burst_jobs = static_cast<int>(rate * settings.lease_s * Admission::burst_leases);
    for (bool other_active : {false, true}) {
        Admission admission(settings);
        if (other_active) {
            EXPECT_TRUE(admission.admit("t2", 0.5));
        }
        int admitted = 0;
        while (admission.admit("t1", 1) && admitted < 10 * burst_jobs) ++admitted;
        EXPECT_GE(admitted, (other_active ? 0.8 : 0.95) * burst_jobs);
        EXPECT_LE(admitted, (other_active ? 0.95 : 1.05) * burst_jobs);
        EXPECT_TRUE(!other_active || admission.admit("t2", 1));
    }
}

}  // namespace
}  // namespace coralhitch::api
