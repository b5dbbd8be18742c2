#pragma once

#include "Membership/GossipMessage.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Lavenderloft::Membership {

// A document as a peer sends it: whole, or as a delta against the one that the caller holds.
struct DocumentReply {
    std::string document;
    std::string delta;
    std::string digest;
};

// Talks to the control service of other processes. Callbacks come once, from any thread; an empty
// value stands for a peer that did not answer in time.
class PeerClient {
public:
    using ExchangeCallback = std::function<void(std::optional<GossipMessage>)>;
    using DocumentCallback = std::function<void(std::optional<DocumentReply>)>;

    virtual ~PeerClient() = default;

    virtual void exchange(const std::string& address, const GossipMessage&, std::chrono::milliseconds timeout, ExchangeCallback) = 0;
    virtual void fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback) = 0;
};

} // namespace Lavenderloft::Membership
