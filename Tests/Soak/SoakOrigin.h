#pragma once

#include "Base/Digest.h"
#include "Http/NodeServer.h"
#include "Soak/FaultyLink.h"
#include "Soak/QueryNumber.h"
#include "Soak/SoakWeights.h"

namespace Lavenderloft::Soak {

// The origin of weights, which has the pieces of every version.
class SoakOrigin {
public:
    explicit SoakOrigin(asio::io_context& context)
        : m_server(Http::NodeServer::start(context, { "127.0.0.1", 0 }, [](Http::HttpRequest request) { return respond(std::move(request)); }))
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }

private:
    static constexpr std::chrono::milliseconds responseTime { 5 };

    static std::string describe(uint64_t version)
    {
        auto digests = nlohmann::json::array();
        for (unsigned i = 0; i < SoakWeights::pieceCount; ++i)
            digests.push_back(Base::sha256(SoakWeights::pieceOf(version, i)));
        return nlohmann::json { { "model", SoakWeights::model }, { "version", version }, { "chunk_bytes", SoakWeights::pieceBytes }, { "layers", SoakWeights::layerCount }, { "digests", std::move(digests) } }.dump();
    }

    static asio::awaitable<Http::HttpResponse> respond(Http::HttpRequest request)
    {
        co_await pause(responseTime);
        auto version = numberIn(request.target, "version");
        bool isManifest = request.target.starts_with("/api/manifest/");
        auto body = isManifest ? describe(version) : SoakWeights::pieceOf(version, static_cast<unsigned>(numberIn(request.target, "sample_count")));
        Http::HttpResponse response { 200, {}, std::move(body) };
        co_return response;
    }

    std::shared_ptr<Http::NodeServer> m_server;
};

} // namespace Lavenderloft::Soak
