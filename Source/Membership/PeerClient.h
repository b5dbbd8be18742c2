#pragma once

#include "Membership/GossipMessage.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Lavenderloft::Membership {

// A document received from a peer: either complete, or as a delta against the document that the caller has.
struct DocumentReply {
    std::string document;
    std::string delta;
    std::string digest;
};

// Client of the control service of other processes. Each callback is called exactly once, on any thread, with
// an empty value if the peer did not respond within the timeout.
class PeerClient {
public:
    using ExchangeCallback = std::function<void(std::optional<GossipMessage>)>;
    using DocumentCallback = std::function<void(std::optional<DocumentReply>)>;

    virtual ~PeerClient() = default;

    virtual void exchange(const std::string& address, const GossipMessage&, std::chrono::milliseconds timeout, ExchangeCallback) = 0;
    virtual void fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback) = 0;
};

} // namespace Lavenderloft::Membership
