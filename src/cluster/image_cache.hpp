// The container images that the leader expects in a machine's image cache, and the numbers that identify
// images during one leadership.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::cluster {

// Assigns a number to each image name, in the order of first use. The numbers are valid for one leadership.
class ImageNumbers {
  public:
    // Returns the number of an image, and assigns the next one to an unknown name.
    std::uint32_t number(const std::string& name) {
        return numbers_.try_emplace(name, static_cast<std::uint32_t>(numbers_.size())).first->second;
    }
    const std::map<std::string, std::uint32_t>& by_name() const { return numbers_; }

  private:
    std::map<std::string, std::uint32_t> numbers_;
};

// An image in the cache of a machine.
struct CachedImage {
    std::uint32_t image = 0;  // see ImageNumbers
    double size_gb = 0;
};

// Model of a machine's image cache, which keeps the most recently used images, as many as fit. An image that
// the machine has evicted must not count as cached: a task placed on the machine because of that image would
// have to fetch it again.
class ImageCache {
  public:
    // Records that a task on the machine uses `image`. `capacity_gb`: size of the cache, from the machine
    // type; the largest double if unknown.
    void record_use(const CachedImage& image, double capacity_gb);
    // Fills the cache with the images that an earlier leader knew, least recently used first. Has no effect
    // if an image has been recorded already.
    void restore(std::vector<CachedImage> images, double capacity_gb);

    const std::vector<CachedImage>& entries() const { return entries_; }  // least recently used first
    // Returns the sorted numbers of the cached images, or null if none was ever recorded. The list is
    // replaced when it changes and never modified, because plans keep references to it.
    const std::shared_ptr<const protocol::ImageIds>& images() const { return images_; }

  private:
    void evict_to_capacity(double capacity_gb);
    std::vector<CachedImage> entries_;
    std::shared_ptr<const protocol::ImageIds> images_;
};

}  // namespace coralhitch::cluster
