#pragma once

#include "Base/TokenBucket.h"
#include "Weights/LinkLimiter.h"

#include <map>
#include <memory>

namespace Lavenderloft::Weights {

// Limits rollouts to their share of the bandwidth to each other region. An upload starts when this sender's fraction
// of the share permits it; its bytes are then sent at the rate of the whole share, so that a chunk does not occupy an
// upload slot for long.
class InterRegionLimiter final : public LinkLimiter {
public:
    InterRegionLimiter(std::string ownRegion, double shareBytesPerSecond);

    // Sets the number of agents of this region that send to other regions and divide the share.
    void setSenders(size_t senders, Base::TimePoint);

    Base::Duration startDelay(const std::string& region, Base::TimePoint) const override;
    void accountUpload(const std::string& region, uint64_t bytes, Base::TimePoint) override;
    Base::Duration partDelay(const Receiver&, uint64_t bytes, Base::TimePoint) override;

private:
    struct Link {
        Link(double senderRate, double shareRate);

        Base::TokenBucket startBucket;
        Base::TokenBucket partBucket;
    };

    Link& linkTo(const std::string& region) const;

    std::string m_ownRegion;
    double m_shareRate;
    mutable std::mutex m_lock;
    size_t m_senders = 1;
    mutable std::map<std::string, std::unique_ptr<Link>> m_links;
};

} // namespace Lavenderloft::Weights
