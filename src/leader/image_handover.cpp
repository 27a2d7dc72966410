#include "leader/image_handover.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace coralhitch::leader {

protocol::PeerImages image_caches_to_hand_over(const cluster::ClusterState& cluster) {
    protocol::PeerImages images;
    images.names.resize(cluster.image_numbers().size());
    images.sizes.resize(images.names.size());
    for (auto& [name, index] : cluster.image_numbers()) images.names[index] = name;
    for (auto& [id, machine] : cluster.machines()) {
        if (machine.image_cache.entries().empty()) continue;
        protocol::PeerMachineImages row{id, {}};
        for (auto& [image, size_gb] : machine.image_cache.entries()) {
            row.images.push_back(image);
            images.sizes[image] = size_gb;
        }
        images.machines.push_back(std::move(row));
    }
    return images;
}

void restore_image_caches(cluster::ClusterState& cluster, const protocol::PeerImages& handed_over) {
    std::vector<std::uint32_t> local_numbers;  // this leader's numbers, by the index in `handed_over.names`
    for (auto& name : handed_over.names) local_numbers.push_back(cluster.image_number(name));
    for (auto& row : handed_over.machines) {
        auto* machine = cluster.find(row.machine);
        if (!machine) continue;
        std::vector<cluster::CachedImage> cache;
        for (auto image : row.images)
            if (image < local_numbers.size() && image < handed_over.sizes.size())
                cache.push_back({local_numbers[image], handed_over.sizes[image]});
        cluster.restore_image_cache(*machine, std::move(cache));
    }
}

}  // namespace coralhitch::leader
