// Tests which images count as cached on a machine.
#include "cluster/image_cache.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "cluster/cluster_state_fixture.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {
namespace {
using protocol::TaskState;

// The cache holds 100 GB. Images that no longer fit are evicted, the least recently used one first.
TEST(ImageCache, DropsImagesThatDoNotFit) {
    struct Case {
        std::vector<int> uses;  // images of 40 GB each, by number
        std::vector<int> cached;
    };
    const Case cases[] = {{{1}, {1}}, {{1, 2}, {1, 2}}, {{1, 2, 3}, {2, 3}}, {{1, 2, 1, 3}, {1, 3}}};
    for (auto& c : cases) {
        ClusterStateFixture fixture;
        fixture.store_by_earlier_leader();
        std::vector<JobSpec> specs;
        for (int image : c.uses) {
            auto job = std::make_shared<protocol::Job>(*fixture.spec);
            job->image = "img-" + std::to_string(image);
            job->image_gb = 40;
            fixture.spec = job;
            fixture.reported_tasks = {{{"j-1", static_cast<std::uint32_t>(specs.size())},
                                       protocol::AttemptNumber{5},
                                       TaskState::running}};
            specs.push_back(job);
            fixture.apply_heartbeat(fixture.base());
        }
        protocol::ImageIds expected;
        for (int image : c.cached)
            expected.push_back(fixture.cluster_state.image_number("img-" + std::to_string(image)));
        std::sort(expected.begin(), expected.end());
        ASSERT_TRUE(fixture.machine().image_cache.images());
        EXPECT_EQ(*fixture.machine().image_cache.images(), expected);
    }
}

// The images that an earlier leader knew count only until a task with another image is known.
TEST(ImageCache, IsRestoredUnlessNewerImagesAreKnown) {
    for (bool newer : {false, true}) {
        ClusterStateFixture fixture;
        fixture.store_by_earlier_leader();
        if (newer) fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
        fixture.apply_heartbeat(fixture.base());
        auto old = fixture.cluster_state.image_number("old");
        fixture.cluster_state.restore_image_cache(
            fixture.machine(), {{old, 30}, {fixture.cluster_state.image_number("older"), 80}});
        ASSERT_TRUE(fixture.machine().image_cache.images());
        // Both restored images together exceed 100 GB, so only the most recently used one is kept.
        EXPECT_EQ(*fixture.machine().image_cache.images(),
                  protocol::ImageIds{fixture.cluster_state.image_number(newer ? "img" : "older")});
    }
}

}  // namespace
}  // namespace coralhitch::cluster
