#pragma once

#include "Fleet/Configuration.h"
#include "Fleet/StorePosition.h"
#include "Fleet/TargetEntry.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lavenderloft::Fleet {

// An item of the store in its encoded form, so that nodes can relay it without decoding it.
struct PublishedItem {
    std::string key;
    std::string value;
    StorePosition position;
    bool deleted = false;
    // Time since the publication, as known to the sender.
    std::chrono::milliseconds age { 0 };
    // The age is only an upper bound, because no node observed the publication.
    bool ageIsBound = false;
    // Delay before a deletion takes effect, during which the target may be published again.
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

// A declaration whose time a node knows exactly, as relayed to other nodes. An item alone does not tell them when the
// versions before it were declared.
struct ObservedDeclaration {
    std::string model;
    uint64_t version = 0;
    std::chrono::milliseconds age { 0 };
};

// The item is not used by the system.
struct Unrelated { };

// The item is used by the system but can't be decoded.
struct Unreadable {
    std::string reason;
};

using Publication = std::variant<Unrelated, Unreadable, ConfigurationPublished, TargetPublished, DataCentreEvacuated, WeightsDeclared>;

// Decodes published items.
class PublicationDecoder {
public:
    virtual ~PublicationDecoder() = default;

    virtual Publication decode(const PublishedItem&) const = 0;

    // Whether the key is that of a target. Needed because a deletion has no value to decode.
    virtual bool isTargetKey(std::string_view key) const = 0;
};

} // namespace Lavenderloft::Fleet
