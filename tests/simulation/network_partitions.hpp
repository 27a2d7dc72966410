// Network partitions: pairs of hosts that can't reach each other, and until when.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace coralhitch::simulation {

inline std::string host_of_address(const std::string& address) {
    return address.substr(0, address.find(':'));
}

// Handling of messages that are sent across a partition: dropped ones are lost, held ones arrive when the
// partition ends, even if the sender's request has timed out.
enum class Packets { dropped, held };

// A partition between two ends. An end is a host, with or without a port, or a prefix that ends with a dot
// and stands for all hosts that begin with it. The port is removed before hosts are compared: a machine's
// address with its port once matched no host, and such a partition had no effect.
struct NetworkPartition {
    std::string from, to;
    double until = 0;  // simulated seconds
    Packets packets = Packets::dropped;
    bool one_way = false;  // only messages from `from` to `to` are blocked
};

// All partitions of a simulated network.
class NetworkPartitions {
  public:
    // The partitions between two hosts, combined.
    struct Blocked {
        Packets packets = Packets::dropped;
        double until = 0;
    };

    void add(NetworkPartition partition) {
        partition.from = host_of_address(partition.from);
        partition.to = host_of_address(partition.to);
        partitions_.push_back(std::move(partition));
    }
    // Returns how messages from one host to another are blocked at `now`, or nothing if they are not. Of
    // several partitions that apply, the one that was added last decides on the packets, and the one that
    // ends last on the time.
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
