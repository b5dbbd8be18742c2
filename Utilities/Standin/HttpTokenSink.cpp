#include "Standin/HttpTokenSink.h"

namespace Lavenderloft::Standin {

namespace {

    constexpr size_t maximumPendingBytes = 64 * 1024;

} // namespace

HttpTokenSink::HttpTokenSink(std::shared_ptr<Http::ResponseStream> stream)
    : m_stream(std::move(stream))
{
}

void HttpTokenSink::start(Http::HttpHeaders headers)
{
    std::unique_lock guard(m_lock);
    if (m_ended)
        return;
    m_stream->start(200, std::move(headers));
    m_started = true;
    sendPending(std::move(guard));
}

bool HttpTokenSink::write(std::string text)
{
    std::unique_lock guard(m_lock);
    if (m_pending.size() + text.size() > maximumPendingBytes)
        return false;
    m_pending += text;
    sendPending(std::move(guard));
    return true;
}

void HttpTokenSink::finish(std::string lastText)
{
    std::unique_lock guard(m_lock);
    m_pending += lastText;
    m_finishing = true;
    sendPending(std::move(guard));
}

void HttpTokenSink::abort()
{
    std::unique_lock guard(m_lock);
    if (std::exchange(m_ended, true))
        return;
    guard.unlock();
    m_stream->abort();
}

void HttpTokenSink::sendPending(std::unique_lock<std::mutex> guard)
{
    if (!m_started || m_writing || m_ended)
        return;
    if (m_pending.empty()) {
        if (!m_finishing)
            return;
        m_ended = true;
        guard.unlock();
        return m_stream->finish();
    }
    m_writing = true;
    auto part = std::exchange(m_pending, {});
    guard.unlock();
    m_stream->write(std::move(part), [self = shared_from_this()](bool ok) {
        std::unique_lock writtenGuard(self->m_lock);
        self->m_writing = false;
        if (ok)
            self->sendPending(std::move(writtenGuard));
    });
}

} // namespace Lavenderloft::Standin
