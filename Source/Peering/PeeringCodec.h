#pragma once

#include "Dispatch/CrashHistory.h"
#include "Fleet/Publication.h"
#include "Peering/PeerTable.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// Load of the engine beside an agent, as routers are told.
struct EngineLoad {
    std::string service;
    std::string engineAddress;
    unsigned running = 0;
    unsigned queued = 0;
    uint64_t wholeVersion = 0;
    bool paused = false;
    // Requests that the receiver may begin there until the next message.
    unsigned granted = 0;
    // The engine has just started; its grants are dealt at the rate that it bears.
    bool cold = false;
    // Time until the engine cuts off its requests to load new weights; nothing if it is not about to.
    std::optional<std::chrono::milliseconds> cutsIn;
};

// A router that the sender of a message has heard of.
struct HeardRouter {
    std::string address;
    std::string dataCentre;
    std::chrono::milliseconds age { 0 };
};

// What a node tells of itself.
struct NodeMessage {
    std::string sender;
    std::string dataCentre;
    bool isRouter = false;
    bool leaving = false;
    uint64_t revision = 0;
    // Requests for engines that a router gets in a second.
    double demand = 0;
    // Time since the store last told the sender, a router, everything; nothing if it does not follow the store.
    std::optional<std::chrono::milliseconds> storeAge;
    std::vector<HeardRouter> routers;
    std::optional<EngineLoad> load;
    // Crashes that the sender, a router, confirmed lately.
    std::vector<Dispatch::CrashReport> crashes;
};

std::string encodeMessage(const NodeMessage&);

// Nothing if the bytes are no message.
std::optional<NodeMessage> decodeMessage(const std::string& bytes);

// Items after a revision, and the revision up to which they are complete.
struct ItemBatch {
    uint64_t revision = 0;
    std::vector<Fleet::PublishedItem> items;
};

std::string encodeItems(const ItemBatch&);
std::optional<ItemBatch> decodeItems(const std::string& bytes);

} // namespace Lavenderloft::Peering
