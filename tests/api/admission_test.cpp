// Admission: shares of teams in what can be stored.
#include "api/admission.hpp"

#include <gtest/gtest.h>

#include "api/user_api_fixture.hpp"

namespace coralhitch::api {
namespace {

// Many jobs of one team come at once at the beginning of a day: they must not be rejected for the sake of
// teams that ask for nothing.
TEST(Admission, LetsOneTeamUseTheWholeBurstUnlessOthersAreActive) {
    auto settings = UserApiCluster().settings;
    settings.teams = {{"t1", 0, 0, 0, 0}, {"t2", 0, 0, 0, 0}};
    double rate = settings.kv_write_rps * 0.9 / Admission::writes_per_job / settings.nodes;
    auto reserve = static_cast<int>(rate * settings.lease_s * Admission::burst_leases);
    for (bool other : {false, true}) {
        Admission admission(settings);
        if (other) {
            EXPECT_TRUE(admission.admit("t2", 0.5));
        }
        int admitted = 0;
        while (admission.admit("t1", 1) && admitted < 10 * reserve) ++admitted;
        EXPECT_GE(admitted, (other ? 0.8 : 0.95) * reserve);
        EXPECT_LE(admitted, (other ? 0.95 : 1.05) * reserve);
        EXPECT_TRUE(!other || admission.admit("t2", 1));
    }
}

}  // namespace
}  // namespace coralhitch::api
