#include "Http/HttpChunkSource.h"

namespace Lavenderloft::Http {

namespace {

    using Weights::WeightError;
    using Weights::WeightErrorKind;

    // Longest time without received data before a request to the weight store fails.
    constexpr std::chrono::milliseconds storeIdleTimeout { 10000 };
    // Larger manifests are rejected; one of this size lists far more chunks than fit in the memory of a VM.
    constexpr size_t maximumManifestBytes = 64 * 1024 * 1024;

    WeightError toWeightError(const HttpError& error)
    {
        auto kind = error.kind == HttpErrorKind::Cancelled ? WeightErrorKind::Cancelled : WeightErrorKind::Unreachable;
        return { kind, "weight store: " + error.message, "check weightStore in the settings" };
    }

    WeightError toWeightError(unsigned status)
    {
        auto kind = status == 404 ? WeightErrorKind::NotHeld : WeightErrorKind::Unreachable;
        return { kind, "the weight store returned status " + std::to_string(status), status == 404 ? "publish the version in the weight store" : "" };
    }

    // Forwards the data of a chunk to its sink; the body of an error response is discarded.
    class ChunkResponse final : public ResponseSink {
    public:
        explicit ChunkResponse(std::shared_ptr<Weights::ChunkSink> sink)
            : m_sink(std::move(sink))
        {
        }

        void head(unsigned status, HttpHeaders) override { m_status = status; }

        void data(std::string bytes, std::function<void()> resume) override
        {
            if (m_status == 200)
                m_sink->part(bytes);
            resume();
        }

        void end(Base::Result<Base::Done, HttpError> result) override
        {
            if (!Base::succeeded(result))
                return m_sink->end(toWeightError(Base::errorOf(result)));
            if (m_status != 200)
                return m_sink->end(toWeightError(m_status));
            m_sink->end(Base::Done {});
        }

    private:
        std::shared_ptr<Weights::ChunkSink> m_sink;
        unsigned m_status = 0;
    };

    class ManifestResponse final : public ResponseSink {
    public:
        explicit ManifestResponse(Weights::ManifestCallback callback)
            : m_callback(std::move(callback))
        {
        }

        void head(unsigned status, HttpHeaders) override { m_status = status; }

        void data(std::string bytes, std::function<void()> resume) override
        {
            m_tooLarge = m_tooLarge || m_document.size() + bytes.size() > maximumManifestBytes;
            if (!m_tooLarge)
                m_document += bytes;
            resume();
        }

        void end(Base::Result<Base::Done, HttpError> result) override
        {
            if (!Base::succeeded(result))
                return m_callback(toWeightError(Base::errorOf(result)));
            if (m_status != 200)
                return m_callback(toWeightError(m_status));
            if (m_tooLarge)
                return m_callback(WeightError { WeightErrorKind::MalformedManifest, "the manifest is larger than " + std::to_string(maximumManifestBytes) + " bytes", "publish it with larger chunks" });
            m_callback(std::move(m_document));
        }

    private:
        Weights::ManifestCallback m_callback;
        std::string m_document;
        unsigned m_status = 0;
        bool m_tooLarge = false;
    };

    class HttpChunkFetch final : public Weights::ChunkFetch {
    public:
        explicit HttpChunkFetch(std::shared_ptr<HttpCall> call)
            : m_call(std::move(call))
        {
        }

        void cancel() override { m_call->cancel(); }

    private:
        std::shared_ptr<HttpCall> m_call;
    };

} // namespace

HttpChunkSource::HttpChunkSource(Endpoint store, std::string vm)
    : m_store(std::move(store))
    , m_vm(std::move(vm))
{
}

HttpChunkSource::~HttpChunkSource() = default;

void HttpChunkSource::fetchManifest(const std::string& digest, Weights::ManifestCallback callback)
{
    m_client.send(m_store, makeRequest("/v1/manifests/" + digest), storeIdleTimeout, std::make_shared<ManifestResponse>(std::move(callback)));
}

std::shared_ptr<Weights::ChunkFetch> HttpChunkSource::fetchChunk(const std::string& digest, std::shared_ptr<Weights::ChunkSink> sink)
{
    return std::make_shared<HttpChunkFetch>(m_client.send(m_store, makeRequest("/v1/chunks/" + digest), storeIdleTimeout, std::make_shared<ChunkResponse>(std::move(sink))));
}

HttpRequest HttpChunkSource::makeRequest(const std::string& path) const
{
    HttpRequest request;
    request.target = path;
    request.headers.push_back({ "User-Agent", "lavenderloft/" + m_vm });
    return request;
}

} // namespace Lavenderloft::Http
