#pragma once

#include "Routing/TargetChannel.h"

namespace Lavenderloft::Bench {

// Baseline without back pressure: reads responses as fast as the target sends them and buffers them without limit
// until the caller has received them.
class UnboundedChannels final : public Routing::TargetChannels {
public:
    explicit UnboundedChannels(std::shared_ptr<Routing::TargetChannels>);

    std::shared_ptr<Routing::TargetChannel> channelTo(const std::string& address) override;
    void retain(const std::set<std::string>& addresses) override { m_inner->retain(addresses); }

private:
    std::shared_ptr<Routing::TargetChannels> m_inner;
};

} // namespace Lavenderloft::Bench
