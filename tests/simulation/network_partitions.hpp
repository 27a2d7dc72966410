// Which hosts can't reach which, and until when.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace coralhitch::simulation {

inline std::string host_of_address(const std::string& address) {
    return address.substr(0, address.find(':'));
}

// What becomes of messages that are sent across a partition: held ones arrive when it ends, even if the
// sender has given up.
enum class Packets { dropped, held };

// Its ends are hosts, with or without a port, or, with a dot at the end, all hosts that begin so. (A
// machine's address with its port used to match no host at all, so that such a partition did nothing.)
struct NetworkPartition {
    std::string from, to;
    double until = 0;
    Packets packets = Packets::dropped;
    bool one_way = false;
};

class NetworkPartitions {
  public:
    struct Blocked {
        Packets packets = Packets::dropped;
        double until = 0;
    };

    void add(NetworkPartition partition) {
        partition.from = host_of_address(partition.from);
        partition.to = host_of_address(partition.to);
        partitions_.push_back(std::move(partition));
    }
    // Of several, the one that was added last says what becomes of packets, and the longest counts.
    std::optional<Blocked> find(const std::string& from, const std::string& to, double now) const {
        std::optional<Blocked> blocked;
        for (auto& partition : partitions_) {
            if (partition.until <= now || !separates(partition, from, to)) continue;
            double until = blocked ? std::max(blocked->until, partition.until) : partition.until;
            blocked = Blocked{partition.packets, until};
        }
        return blocked;
    }

  private:
    static bool matches(const std::string& pattern, const std::string& host) {
        return pattern.ends_with('.') ? host.starts_with(pattern) : host == pattern;
    }
    static bool separates(const NetworkPartition& partition, const std::string& from, const std::string& to) {
        if (matches(partition.from, from) && matches(partition.to, to)) return true;
        return !partition.one_way && matches(partition.from, to) && matches(partition.to, from);
    }

    std::vector<NetworkPartition> partitions_;
};

}  // namespace coralhitch::simulation
