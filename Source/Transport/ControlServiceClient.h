#pragma once

#include "Base/Result.h"
#include "Membership/ControlHandler.h"
#include "Membership/PeerClient.h"
#include "Transport/Credentials.h"

#include <memory>

namespace Lavenderloft::Transport {

enum class ControlErrorKind {
    Unreachable,
};

using ControlError = Base::Error<ControlErrorKind>;

// Calls the control service of other processes over gRPC.
class ControlServiceClient final : public Membership::PeerClient {
public:
    explicit ControlServiceClient(SharedCredentials);
    // Waits for the callbacks of calls under way.
    ~ControlServiceClient() override;

    void exchange(const std::string& address, const Membership::GossipMessage&, std::chrono::milliseconds timeout, ExchangeCallback) override;
    void fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback) override;

    // Waits for the answer; for the command line.
    Base::Result<Membership::FleetStatus, ControlError> fetchStatus(const std::string& address, std::chrono::milliseconds timeout);

    // Bytes of messages sent and received so far, without the framing of HTTP/2.
    uint64_t bytesTransferred() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Transport
