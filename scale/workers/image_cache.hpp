// The images on one hollow worker's disk.
#pragma once
#include <map>
#include <string>
#include <vector>

namespace coralhitch::scale {

// Keeps the images used last, up to a size; the one in use always stays.
class ImageCache {
  public:
    explicit ImageCache(double capacity_gb) : capacity_gb_(capacity_gb) {}

    [[nodiscard]] bool has(const std::string& image) const { return images_.contains(image); }
    // The image is used now. Seconds until its fetch, which is under way or over, has ended.
    double use(const std::string& image, double now);
    // The image is fetched from now on, in so many seconds.
    void fetch(const std::string& image, double size_gb, double now, double fetch_s);

  private:
    struct Image {
        double ready_at = 0, size_gb = 0;
    };
    void mark_used(const std::string& image);
    void evict();

    double capacity_gb_;
    std::map<std::string, Image> images_;
    std::vector<std::string> by_last_use_;  // the one used longest ago first
};

}  // namespace coralhitch::scale
