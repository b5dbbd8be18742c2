#pragma once

#include "Routing/TargetChannel.h"

#include <cstdint>
#include <string>

namespace Lavenderloft::Routing {

enum class FrameVerdict {
    Accept,
    // The frame belongs to another attempt or is a duplicate. It is ignored.
    Drop,
    // The response is incomplete or is not the one requested.
    Invalid,
};

// Matches the frames of a stream to one attempt and counts the bytes received, so that a late, duplicate,
// misrouted or truncated response is never treated as complete.
class ResponseMatcher {
public:
    ResponseMatcher() = default;

    // An empty weights digest means a plain service and accepts any digest. An empty adapter means the base
    // model.
    ResponseMatcher(std::string attemptId, std::string weightsDigest, std::string adapter);

    // Accepts only a response that starts at the given token and has the given status.
    void requireResume(uint64_t token, unsigned status);

    FrameVerdict head(const ResponseHead&);
    FrameVerdict data(const ResponseData&);
    FrameVerdict end(const ResponseEnd&);

    uint64_t receivedBytes() const { return m_receivedBytes; }

private:
    std::string m_attemptId;
    std::string m_weightsDigest;
    // Zero accepts any status.
    unsigned m_status = 0;
    uint64_t m_firstToken = 0;
    std::string m_adapter;
    uint64_t m_receivedBytes = 0;
    bool m_headSeen = false;
};

} // namespace Lavenderloft::Routing
