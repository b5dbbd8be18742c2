#pragma once

#include "Base/TokenBucket.h"
#include "Weights/LinkLimiter.h"

#include <map>
#include <memory>

namespace Lavenderloft::Weights {

// Keeps rollouts within their share of the links to other regions. An upload starts when the sender's own part of
// the share allows it; its bytes then go at the rate of the whole share, so that a chunk does not hold a slot for long.
class InterRegionLimiter final : public LinkLimiter {
public:
    // The rate of the share is in bytes a second.
    InterRegionLimiter(std::string ownRegion, double shareBytesPerSecond);

    // Sets the number of agents of the region that send across its links.
    void setSenders(size_t senders, Base::TimePoint);

    Base::Duration startDelay(const std::string& region, Base::TimePoint) const override;
    void accountUpload(const std::string& region, uint64_t bytes, Base::TimePoint) override;
    Base::Duration partDelay(const Receiver&, uint64_t bytes, Base::TimePoint) override;

private:
    struct Link {
        Link(double senderRate, double shareRate);

        Base::TokenBucket starts;
        Base::TokenBucket parts;
    };

    Link& linkTo(const std::string& region) const;

    std::string m_ownRegion;
    double m_shareRate;
    mutable std::mutex m_lock;
    size_t m_senders = 1;
    mutable std::map<std::string, std::unique_ptr<Link>> m_links;
};

} // namespace Lavenderloft::Weights
