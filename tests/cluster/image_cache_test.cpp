// Which images count as cached on a machine.
#include "cluster/image_cache.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "cluster/cluster_state_fixture.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {
namespace {
using protocol::TaskState;

// Cache of 100 GB: what does not fit any more is dropped, the image used longest ago first.
TEST(ImageCache, DropsImagesThatDoNotFit) {
    struct Case {
        std::vector<int> uses;  // images of 40 GB each, by number
        std::vector<int> there;
    };
    const Case cases[] = {{{1}, {1}}, {{1, 2}, {1, 2}}, {{1, 2, 3}, {2, 3}}, {{1, 2, 1, 3}, {1, 3}}};
    for (auto& c : cases) {
        ClusterStateFixture b;
        b.store_by_earlier_leader();
        std::vector<JobSpec> specs;
        for (int image : c.uses) {
            auto j = std::make_shared<protocol::Job>(*b.spec);
            j->image = "img-" + std::to_string(image);
            j->image_gb = 40;
            b.spec = j;
            b.reported_tasks = {{{"j-1", static_cast<std::uint32_t>(specs.size())}, 5, TaskState::running}};
            specs.push_back(j);
            b.apply_heartbeat(b.base());
        }
        protocol::ImageIds expected;
        for (int image : c.there)
            expected.push_back(b.cluster_state.image_number("img-" + std::to_string(image)));
        std::sort(expected.begin(), expected.end());
        ASSERT_TRUE(b.machine().image_cache.images());
        EXPECT_EQ(*b.machine().image_cache.images(), expected);
    }
}

// What an earlier leader knew counts until something newer is known.
TEST(ImageCache, IsRestoredUnlessNewerImagesAreKnown) {
    for (bool newer : {false, true}) {
        ClusterStateFixture b;
        b.store_by_earlier_leader();
        if (newer) b.reported_tasks = {{task, 5, TaskState::running}};
        b.apply_heartbeat(b.base());
        auto old = b.cluster_state.image_number("old");
        b.cluster_state.restore_image_cache(b.machine(),
                                            {{old, 30}, {b.cluster_state.image_number("older"), 80}});
        ASSERT_TRUE(b.machine().image_cache.images());
        // 100 GB: of the recalled ones only the last used fits.
        EXPECT_EQ(*b.machine().image_cache.images(),
                  protocol::ImageIds{b.cluster_state.image_number(newer ? "img" : "older")});
    }
}

}  // namespace
}  // namespace coralhitch::cluster
