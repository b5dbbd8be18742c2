#pragma once

#include "Fleet/Configuration.h"
#include "Fleet/TargetEntry.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lavenderloft::Fleet {

// An item as it was published: opaque here, so that nodes can pass it on unread.
struct PublishedItem {
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool deleted = false;
    // Longest time since it was published, as far as the sender knows.
    std::chrono::milliseconds age { 0 };
    // The age is an upper bound: nobody saw the item come.
    bool ageIsBound = false;
    // A deletion takes effect only after this time, because the target may come back until then.
    std::chrono::milliseconds deletionDelay { 0 };
};

struct ConfigurationPublished {
    std::shared_ptr<const Configuration> configuration;
};

struct TargetPublished {
    TargetEntry entry;
};

struct DataCentreEvacuated {
    std::string dataCentre;
};

struct WeightsDeclared {
    std::string model;
    uint64_t version = 0;
};

// The item belongs to nothing that the system uses.
struct Unrelated { };

// The item is one of ours but can't be read.
struct Unreadable {
    std::string reason;
};

using Publication = std::variant<Unrelated, Unreadable, ConfigurationPublished, TargetPublished, DataCentreEvacuated, WeightsDeclared>;

// Turns published items into the product's types.
class PublicationDecoder {
public:
    virtual ~PublicationDecoder() = default;

    virtual Publication decode(const PublishedItem&) const = 0;

    // Whether the key names a target; a deletion carries nothing but the key.
    virtual bool isTargetKey(std::string_view key) const = 0;

    // Prefixes below which the items of interest stand.
    virtual std::vector<std::string> prefixes() const = 0;
};

} // namespace Lavenderloft::Fleet
