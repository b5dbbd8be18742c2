#pragma once

#include "Transport/Credentials.h"
#include "Weights/PeerClient.h"
#include "Weights/WeightState.h"

#include <memory>

namespace Lavenderloft::Transport {

// Calls the WeightService of other agents. Only encodes and decodes messages.
class WeightServiceClient final : public Weights::PeerClient {
public:
    WeightServiceClient(Weights::Participant self, std::shared_ptr<Weights::WeightState>, SharedCredentials);
    ~WeightServiceClient() override;

    void getHoldings(const Weights::Participant&, const std::string& manifestDigest, Weights::HoldingsCallback) override;
    void getManifest(const Weights::Participant&, const std::string& manifestDigest, std::chrono::milliseconds timeout, Weights::ManifestCallback) override;
    std::shared_ptr<Weights::ChunkFetch> fetchChunk(const Weights::Participant&, const Weights::ChunkRequest&, std::shared_ptr<Weights::ChunkSink>) override;

private:
    struct Channels;

    Weights::Participant m_self;
    std::shared_ptr<Weights::WeightState> m_state;
    std::unique_ptr<Channels> m_channels;
};

} // namespace Lavenderloft::Transport
