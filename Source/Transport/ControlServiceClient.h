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
    // Blocks until the callbacks of all pending calls have returned.
    ~ControlServiceClient() override;

    void exchange(const std::string& address, const Membership::GossipMessage&, std::chrono::milliseconds timeout, ExchangeCallback) override;
    void fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback) override;

    // Blocks until the response arrives; used by the command line.
    Base::Result<Membership::FleetStatus, ControlError> fetchStatus(const std::string& address, std::chrono::milliseconds timeout);

    // Total size of the messages sent and received, without HTTP/2 framing.
    uint64_t bytesTransferred() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Transport
