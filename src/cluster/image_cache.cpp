#include "cluster/image_cache.hpp"

#include <algorithm>
#include <utility>

namespace coralhitch::cluster {

void ImageCache::record_use(const CachedImage& image, double capacity_gb) {
    std::erase_if(entries_, [&](auto& entry) { return entry.image == image.image; });
    entries_.push_back(image);
    evict_to_capacity(capacity_gb);
}

void ImageCache::restore(std::vector<CachedImage> images, double capacity_gb) {
    if (!entries_.empty()) return;
    entries_ = std::move(images);
    evict_to_capacity(capacity_gb);
}

void ImageCache::evict_to_capacity(double capacity_gb) {
    double left_gb = capacity_gb;
    protocol::ImageIds images;
    std::size_t kept = 0;
    // The most recently used image is kept even if it is larger than the cache: a task runs with it.
    for (auto entry = entries_.rbegin(); entry != entries_.rend() && (kept == 0 || left_gb >= entry->size_gb);
         ++entry, ++kept) {
        left_gb -= entry->size_gb;
        images.push_back(entry->image);
    }
    entries_.erase(entries_.begin(), entries_.end() - static_cast<std::ptrdiff_t>(kept));
    std::sort(images.begin(), images.end());
    if (!images_ || *images_ != images)
        images_ = std::make_shared<const protocol::ImageIds>(std::move(images));
}

}  // namespace coralhitch::cluster
