// The container images on one hollow worker's disk.
#pragma once
#include <map>
#include <string>
#include <vector>

namespace coralhitch::scale {

// Evicts the least recently used images once the capacity is exceeded. The image used last always stays.
class ImageCache {
  public:
    explicit ImageCache(double capacity_gb) : capacity_gb_(capacity_gb) {}

    [[nodiscard]] bool has(const std::string& image) const { return images_.contains(image); }
    // Marks the image as used now. Returns the seconds until its fetch ends, 0 if it has ended. Throws
    // std::out_of_range if the cache does not have the image.
    double use(const std::string& image, double now);
    // Adds the image, whose fetch begins now and takes `fetch_s` seconds.
    void fetch(const std::string& image, double size_gb, double now, double fetch_s);

  private:
    struct Image {
        double ready_at = 0, size_gb = 0;
    };
    void mark_used(const std::string& image);
    void evict();

    double capacity_gb_;
    std::map<std::string, Image> images_;
    std::vector<std::string> by_last_use_;  // least recently used first
};

}  // namespace coralhitch::scale
