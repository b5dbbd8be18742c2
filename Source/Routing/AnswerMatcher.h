#pragma once

#include "Routing/TargetChannel.h"

#include <cstdint>
#include <string>

namespace Lavenderloft::Routing {

enum class FrameVerdict {
    Accept,
    // The frame belongs to another attempt or repeats one; the answer goes on without it.
    Drop,
    // The answer can't be the whole and right one.
    Unusable,
};

// Matches the frames of a stream to one attempt and counts its bytes, so that a late, doubled, crossed
// or truncated answer is never taken for whole.
class AnswerMatcher {
public:
    AnswerMatcher() = default;

    // An empty digest of weights stands for a plain service, of which any is accepted; an empty adapter
    // stands for the base model.
    AnswerMatcher(std::string attemptId, std::string weightsDigest, std::string adapter);

    // Accepts only an answer with that status that states the number of its first token.
    void requireResume(uint64_t token, unsigned status);

    FrameVerdict head(const ResponseHead&);
    FrameVerdict data(const ResponseData&);
    FrameVerdict end(const ResponseEnd&);

    uint64_t receivedBytes() const { return m_receivedBytes; }

private:
    std::string m_attemptId;
    std::string m_weightsDigest;
    // Zero for any status.
    unsigned m_status = 0;
    uint64_t m_firstToken = 0;
    std::string m_adapter;
    uint64_t m_receivedBytes = 0;
    bool m_headSeen = false;
};

} // namespace Lavenderloft::Routing
