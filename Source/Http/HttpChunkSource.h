#pragma once

#include "Http/HttpClient.h"
#include "Weights/ChunkSource.h"

namespace Lavenderloft::Http {

// The weight store over HTTP: GET /v1/manifests/{digest} and GET /v1/chunks/{digest}.
class HttpChunkSource final : public Weights::ChunkSource {
public:
    // The name of the VM goes into the User-Agent header, so that the store's operators see who reads.
    HttpChunkSource(Endpoint store, std::string vm);
    ~HttpChunkSource() override;

    void fetchManifest(const std::string& digest, Weights::ManifestCallback) override;
    std::shared_ptr<Weights::ChunkFetch> fetchChunk(const std::string& digest, std::shared_ptr<Weights::ChunkSink>) override;

private:
    HttpRequest makeRequest(const std::string& path) const;

    Endpoint m_store;
    std::string m_vm;
    HttpClient m_client;
};

} // namespace Lavenderloft::Http
