#pragma once

#include "Dispatch/CrashHistory.h"
#include "Dispatch/LimitReport.h"
#include "Dispatch/PartEvidence.h"
#include "Fleet/Publication.h"
#include "Peering/PeerClocks.h"
#include "Peering/PeerTable.h"
#include "Scheduling/ReuseAllowance.h"
#include "Scheduling/UrgencyDemand.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// Load of an agent's engine, as reported to the routers.
struct EngineLoad {
    std::string service;
    std::string engineAddress;
    unsigned running = 0;
    unsigned queued = 0;
    uint64_t wholeVersion = 0;
    bool paused = false;
    // Requests that the receiver may start at the engine before the next report.
    unsigned granted = 0;
    // The engine is in its cold start; its grants are limited to the cold-start rate.
    bool cold = false;
    // Time until the engine aborts its requests to load new weights; empty if no abort is planned.
    std::optional<std::chrono::milliseconds> abortsIn;
    // Time since the agent saw the engine end or restart; empty if that was long ago.
    std::optional<std::chrono::milliseconds> endedAgo {};
    // How many times slower than usual the engine says that it runs; zero if it is not slow or does not say.
    double pace = 0;
    // Limit on the slots that the receiver reuses; empty if it is not limited.
    std::optional<Scheduling::ReuseLimit> reuse {};
};

// A router known to the sender of a message.
struct KnownRouter {
    std::string address;
    std::string dataCentre;
    std::chrono::milliseconds age { 0 };
};

// The state of a node, as sent to its peers.
struct NodeMessage {
    std::string sender;
    std::string dataCentre;
    bool isRouter = false;
    bool leaving = false;
    Fleet::StorePosition position;
    // See Fleet::FleetSnapshot::retainedDigest.
    uint64_t retainedDigest = 0;
    // Rate of requests for engines at a router, per second.
    double demand = 0;
    // Time since the sender, a router, was last synchronised with the store; empty if it does not follow the store.
    std::optional<std::chrono::milliseconds> storeAge;
    std::vector<KnownRouter> routers;
    std::optional<EngineLoad> load;
    // Crashes recently confirmed by the sender, a router.
    std::vector<Dispatch::CrashReport> crashes;
    // Recent declarations of weights whose times the sender knows exactly.
    std::vector<Fleet::ObservedDeclaration> declarations;
    Dispatch::PartReports parts;
    MessageTimes times {};
    // Limits that targets name, as the sender, a router, knows them.
    std::vector<Dispatch::LimitReport> limits {};
    // Demand for engines at a router; empty if its routes do not differ in priority.
    Scheduling::DemandByUrgency urgencyDemand {};
    // Numbers of a demand that were out of their bounds when the message was decoded.
    unsigned clampedDemands = 0;
};

// A datagram must not be larger. With the most reports of each kind a message stays below it.
inline constexpr size_t maximumMessageBytes = 8192;
inline constexpr size_t maximumCrashesPerMessage = 32;
inline constexpr size_t maximumPartCrashesPerMessage = 64;
inline constexpr size_t maximumPartsServedPerMessage = 64;
inline constexpr size_t maximumDeclarationsPerMessage = 16;
inline constexpr size_t maximumLimitsPerMessage = 8;

std::string encodeMessage(const NodeMessage&);

// Returns bytes that set the times of the encoded message to which they are appended, so that a message to many receivers
// is encoded once.
std::string encodeTimes(const MessageTimes&);

// Returns nullopt unless the bytes are a valid message.
std::optional<NodeMessage> decodeMessage(const std::string& bytes);

// A value that was compressed for its way to another node.
struct PackedValue {
    std::string bytes;
    // Position of the key's value that the receiver needs to restore this one; zero if it needs none.
    Fleet::StorePosition basePosition;
    // Digest of the whole value.
    uint64_t digest = 0;
};

// Items published after some position, complete up to `position`.
struct ItemBatch {
    Fleet::StorePosition position;
    std::vector<Fleet::PublishedItem> items;
    // Values by key that are sent in place of those of the items.
    std::map<std::string, PackedValue> packedValues {};
};

std::string encodeItems(const ItemBatch&);
std::optional<ItemBatch> decodeItems(const std::string& bytes);

} // namespace Lavenderloft::Peering
