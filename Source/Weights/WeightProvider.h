#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Weights {

// A manifest that this VM needs.
struct WantedManifest {
    std::string digest;
    // Transfers with a higher value go first.
    unsigned priority = 100;
};

enum class TransferStatus {
    Unknown,
    Fetching,
    // Every chunk is held and verified.
    Complete,
    Failed,
};

struct TransferProgress {
    TransferStatus status = TransferStatus::Unknown;
    unsigned chunksHeld = 0;
    unsigned chunksTotal = 0;
    // Why the transfer is delayed or failed.
    std::string reason;
};

// Fetches, verifies and holds weights. Thread-safe.
class WeightProvider {
public:
    virtual ~WeightProvider() = default;

    // Replaces the set of wanted manifests. Transfers of all others stop at once and their memory is released.
    virtual void setWanted(const std::vector<WantedManifest>&) = 0;

    virtual TransferProgress progress(const std::string& manifestDigest) const = 0;

    // The bytes of a manifest; null if it is not held.
    virtual std::shared_ptr<const std::string> manifestBytes(const std::string& manifestDigest) const = 0;

    // A verified chunk, indexed in the order of the manifest's files; null if it is not held.
    virtual std::shared_ptr<const std::string> chunk(const std::string& manifestDigest, unsigned index) const = 0;
};

} // namespace Lavenderloft::Weights
