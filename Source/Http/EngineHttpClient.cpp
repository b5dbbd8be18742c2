#include "Http/EngineHttpClient.h"

#include "Base/RendezvousHash.h"
#include "Json/BoundedParser.h"

#include <limits>
#include <stdexcept>

namespace Lavenderloft::Http {

namespace {

    using Placement::EngineError;
    using Placement::EngineErrorKind;
    using Placement::EngineMode;
    using Placement::EngineStatus;

    // Shorter than Admission::pauseLimit, so that a call to an unresponsive engine is not detected as a pause of the agent.
    constexpr std::chrono::milliseconds statusTimeout { 1000 };
    constexpr std::chrono::milliseconds requestTimeout { 10000 };
    constexpr unsigned conflictStatus = 409;
    // Error messages quote at most this much of a response body.
    constexpr size_t maximumQuotedBytes = 200;

    bool isSuccess(unsigned status)
    {
        return status >= 200 && status < 300;
    }

    EngineError unreachable(const HttpError& error)
    {
        return { EngineErrorKind::Unreachable, "the engine does not respond: " + error.message, error.remedy };
    }

    EngineError refused(const HttpResponse& response)
    {
        auto kind = response.status == conflictStatus ? EngineErrorKind::StaleFence : EngineErrorKind::Refused;
        return { kind, "the engine returned status " + std::to_string(response.status) + ": " + response.body.substr(0, maximumQuotedBytes), "see the engine's log" };
    }

    // The incarnation is an unsigned number or a string. A string is hashed; 0 is reserved for an unknown incarnation.
    uint64_t readIncarnation(const nlohmann::json& value)
    {
        if (value.is_number_unsigned())
            return value.get<uint64_t>();
        auto hash = Base::stableHash(value.get<std::string>());
        return hash ? hash : 1;
    }

    // An optional member. A number that the type can't hold would be changed by its conversion.
    template <typename Number>
    Number readNumber(const nlohmann::json& object, const char* name)
    {
        auto member = object.find(name);
        if (member == object.end())
            return 0;
        if (!member->is_number_unsigned() || member->get<uint64_t>() > std::numeric_limits<Number>::max())
            throw std::invalid_argument(std::string("\"") + name + "\" is not an unsigned integer in range");
        return member->get<Number>();
    }

    EngineMode readMode(const std::string& name)
    {
        if (name == "empty")
            return EngineMode::Empty;
        if (name == "loading")
            return EngineMode::Loading;
        if (name == "cold")
            return EngineMode::Cold;
        if (name == "ready")
            return EngineMode::Ready;
        throw std::invalid_argument("unknown state \"" + name + "\"");
    }

    EngineStatus readStatus(const nlohmann::json& object)
    {
        EngineStatus status;
        status.incarnation = readIncarnation(object.at("incarnation"));
        status.mode = readMode(object.at("state").get<std::string>());
        status.digest = object.at("digest").is_null() ? std::string() : object.at("digest").get<std::string>();
        status.adapters = object.value("adapters", std::set<std::string>());
        status.running = readNumber<unsigned>(object, "running");
        status.queued = readNumber<unsigned>(object, "queued");
        status.memoryBytes = readNumber<uint64_t>(object, "memoryBytes");
        status.memoryLimitBytes = readNumber<uint64_t>(object, "memoryLimitBytes");
        status.highestFence = readNumber<uint64_t>(object, "highestFence");
        status.checksFence = object.value("checksFence", false);
        return status;
    }

    HttpRequest makeUpload(const std::string& digest, const std::string& part, const std::string& bytes, uint64_t fence)
    {
        HttpRequest request;
        request.method = "PUT";
        request.target = "/engine/weights/" + digest + "/" + part;
        request.headers.push_back({ "X-Fence", std::to_string(fence) });
        request.body = bytes;
        return request;
    }

    HttpRequest makeOrder(const char* name, const std::string& digest, uint64_t fence)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/engine/orders";
        request.headers.push_back({ "Content-Type", "application/json" });
        request.body = nlohmann::json { { "fence", fence }, { "order", name }, { "digest", digest } }.dump();
        return request;
    }

} // namespace

Base::Result<EngineStatus, EngineError> parseEngineStatus(const std::string& body)
{
    auto malformed = [](const std::string& reason) {
        return EngineError { EngineErrorKind::Malformed, "malformed engine status: " + reason, "check that the endpoint is a model engine" };
    };
    auto document = Json::parseBounded(body);
    if (!Base::succeeded(document))
        return malformed(Base::errorOf(document).message);
    try {
        return readStatus(Base::valueOf(document));
    } catch (const std::exception& error) {
        return malformed(error.what());
    }
}

EngineHttpClient::EngineHttpClient(Endpoint endpoint)
    : m_endpoint(std::move(endpoint))
{
}

Base::Result<EngineStatus, EngineError> EngineHttpClient::status()
{
    HttpRequest request;
    request.target = "/engine/status";
    auto response = m_client.fetch(m_endpoint, std::move(request), statusTimeout);
    if (!Base::succeeded(response))
        return unreachable(Base::errorOf(response));
    if (!isSuccess(Base::valueOf(response).status))
        return refused(Base::valueOf(response));
    return parseEngineStatus(Base::valueOf(response).body);
}

Base::Result<Base::Done, EngineError> EngineHttpClient::sendRequest(HttpRequest request)
{
    auto response = m_client.fetch(m_endpoint, std::move(request), requestTimeout);
    if (!Base::succeeded(response))
        return unreachable(Base::errorOf(response));
    if (!isSuccess(Base::valueOf(response).status))
        return refused(Base::valueOf(response));
    return Base::Done {};
}

Base::Result<Base::Done, EngineError> EngineHttpClient::sendManifest(const std::string& digest, const std::string& bytes, uint64_t fence)
{
    auto result = sendRequest(makeUpload(digest, "manifest", bytes, fence));
    // An engine that does not use the manifest may refuse it; the digest that it reports after the load is checked instead.
    if (!Base::succeeded(result) && Base::errorOf(result).kind == EngineErrorKind::Refused)
        return Base::Done {};
    return result;
}

Base::Result<Base::Done, EngineError> EngineHttpClient::sendChunk(const std::string& digest, unsigned index, const std::string& bytes, uint64_t fence)
{
    return sendRequest(makeUpload(digest, std::to_string(index), bytes, fence));
}

Base::Result<Base::Done, EngineError> EngineHttpClient::load(const std::string& digest, uint64_t fence)
{
    return sendRequest(makeOrder("load", digest, fence));
}

Base::Result<Base::Done, EngineError> EngineHttpClient::loadAdapter(const std::string& digest, uint64_t fence)
{
    return sendRequest(makeOrder("loadAdapter", digest, fence));
}

Base::Result<Base::Done, EngineError> EngineHttpClient::unloadAdapter(const std::string& digest, uint64_t fence)
{
    return sendRequest(makeOrder("unloadAdapter", digest, fence));
}

} // namespace Lavenderloft::Http
