#pragma once

#include "Http/HttpServer.h"
#include "Standin/EngineState.h"

namespace Lavenderloft::Standin {

// Streams tokens as a chunked response and buffers a bounded number of bytes for a slow reader.
class HttpTokenSink final : public TokenSink, public std::enable_shared_from_this<HttpTokenSink> {
public:
    explicit HttpTokenSink(std::shared_ptr<Http::ResponseStream>);

    // Sends the response head, followed by the tokens that were written before.
    void start(Http::HttpHeaders);

    bool write(std::string text) override;
    void finish(std::string lastText) override;
    void abort() override;

private:
    void sendPending(std::unique_lock<std::mutex>);

    std::shared_ptr<Http::ResponseStream> m_stream;
    std::mutex m_lock;
    std::string m_pending;
    bool m_started = false;
    bool m_writing = false;
    bool m_finishing = false;
    bool m_ended = false;
};

} // namespace Lavenderloft::Standin
