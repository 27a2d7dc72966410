// Which container images are on a machine, as far as the leader knows, and the numbers it gives to images.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::cluster {

// A number for each image name, in the order of their first use. Valid for one leadership.
class ImageNumbers {
  public:
    std::uint32_t number(const std::string& name) {
        return numbers_.try_emplace(name, static_cast<std::uint32_t>(numbers_.size())).first->second;
    }
    const std::map<std::string, std::uint32_t>& by_name() const { return numbers_; }

  private:
    std::map<std::string, std::uint32_t> numbers_;
};

struct CachedImage {
    std::uint32_t image = 0;  // see ImageNumbers
    double size_gb = 0;
};

// A machine caches the images used last, as many as fit. What it has dropped must not count as cached: a task
// sent there for it would fetch it after all.
class ImageCache {
  public:
    // A task on the machine has this image. `capacity_gb` is that of the machine's type; infinite if unknown.
    void use(const CachedImage& image, double capacity_gb);
    // What an earlier leader knew, least recently used first. Has no effect if anything newer is known.
    void restore(std::vector<CachedImage> images, double capacity_gb);

    const std::vector<CachedImage>& entries() const { return entries_; }  // least recently used first
    // Their numbers, sorted; null before the first use. Replaced, never changed: plans hold on to it.
    const std::shared_ptr<const protocol::ImageIds>& images() const { return images_; }

  private:
    void evict_to_capacity(double capacity_gb);
    std::vector<CachedImage> entries_;
    std::shared_ptr<const protocol::ImageIds> images_;
};

}  // namespace coralhitch::cluster
