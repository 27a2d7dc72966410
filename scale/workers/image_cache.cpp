#include "scale/workers/image_cache.hpp"

#include <algorithm>

namespace coralhitch::scale {

void ImageCache::mark_used(const std::string& image) {
    std::erase(by_last_use_, image);
    by_last_use_.push_back(image);
}

double ImageCache::use(const std::string& image, double now) {
    mark_used(image);
    return std::max(0.0, images_.at(image).ready_at - now);
}

void ImageCache::fetch(const std::string& image, double size_gb, double now, double fetch_s) {
    mark_used(image);
    images_[image] = {now + fetch_s, size_gb};
    evict();
}

void ImageCache::evict() {
    double held_gb = 0;
    for (auto& [name, image] : images_) held_gb += image.size_gb;
    while (held_gb > capacity_gb_ && by_last_use_.size() > 1) {
        auto oldest = by_last_use_.front();
        held_gb -= images_.at(oldest).size_gb;
        images_.erase(oldest);
        by_last_use_.erase(by_last_use_.begin());
    }
}

}  // namespace coralhitch::scale
