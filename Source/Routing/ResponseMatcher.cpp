#include "Routing/ResponseMatcher.h"

namespace Lavenderloft::Routing {

ResponseMatcher::ResponseMatcher(std::string attemptId, std::string weightsDigest, std::string adapter)
    : m_attemptId(std::move(attemptId))
    , m_weightsDigest(std::move(weightsDigest))
    , m_adapter(std::move(adapter))
{
}

void ResponseMatcher::requireResume(uint64_t token, unsigned status)
{
    m_firstToken = token;
    m_status = status;
}

FrameVerdict ResponseMatcher::head(const ResponseHead& head)
{
    if (head.attemptId != m_attemptId || m_headSeen)
        return FrameVerdict::Drop;
    m_headSeen = true;
    bool isFromWeights = m_weightsDigest.empty() || (head.weightsDigest == m_weightsDigest && head.adapterDigest == m_adapter);
    bool isFromToken = head.resumedFromToken == m_firstToken && (head.status == m_status || !m_status);
    return isFromWeights && isFromToken ? FrameVerdict::Accept : FrameVerdict::Invalid;
}

FrameVerdict ResponseMatcher::data(const ResponseData& data)
{
    if (data.attemptId != m_attemptId)
        return FrameVerdict::Drop;
    if (!m_headSeen)
        return FrameVerdict::Invalid;
    m_receivedBytes += data.bytes.size();
    return FrameVerdict::Accept;
}

FrameVerdict ResponseMatcher::end(const ResponseEnd& end)
{
    if (end.attemptId != m_attemptId)
        return FrameVerdict::Drop;
    if (end.kind != EndKind::Complete)
        return FrameVerdict::Accept;
    return m_headSeen && end.totalBytes == m_receivedBytes ? FrameVerdict::Accept : FrameVerdict::Invalid;
}

} // namespace Lavenderloft::Routing
