#pragma once

#include "Http/HttpClient.h"
#include "Weights/ChunkSource.h"

namespace Lavenderloft::Http {

// Reads a weight store over HTTP with GET /v1/manifests/{digest} and GET /v1/chunks/{digest}.
class HttpChunkSource final : public Weights::ChunkSource {
public:
    // The User-Agent header contains the name of the VM, so that the operators of the store can identify the client.
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
