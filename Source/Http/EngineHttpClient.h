#pragma once

#include "Http/HttpClient.h"
#include "Placement/EngineClient.h"

namespace Lavenderloft::Http {

// Reads the status of a model engine and sends it orders over HTTP.
class EngineHttpClient final : public Placement::EngineClient {
public:
    explicit EngineHttpClient(Endpoint);

    Base::Result<Placement::EngineStatus, Placement::EngineError> status() override;
    Base::Result<Base::Done, Placement::EngineError> sendManifest(const std::string& digest, const std::string& bytes, uint64_t fence) override;
    Base::Result<Base::Done, Placement::EngineError> sendChunk(const std::string& digest, unsigned index, const std::string& bytes, uint64_t fence) override;
    Base::Result<Base::Done, Placement::EngineError> load(const std::string& digest, uint64_t fence) override;
    Base::Result<Base::Done, Placement::EngineError> loadAdapter(const std::string& digest, uint64_t fence) override;
    Base::Result<Base::Done, Placement::EngineError> unloadAdapter(const std::string& digest, uint64_t fence) override;

private:
    Base::Result<Base::Done, Placement::EngineError> sendRequest(HttpRequest);

    Endpoint m_endpoint;
    HttpClient m_client;
};

// Parses the response body of GET /engine/status.
Base::Result<Placement::EngineStatus, Placement::EngineError> parseEngineStatus(const std::string& body);

} // namespace Lavenderloft::Http
