#pragma once

#include "Soak/SoakFleet.h"

#include "Http/PersistentHttpClient.h"

#include <optional>
#include <sstream>

namespace Lavenderloft::Soak {

// What a router says of itself.
struct RouterMetrics {
    uint64_t configurationVersion = 0;
    uint64_t storeEra = 0;
};

inline uint64_t readMetric(const std::string& body, const std::string& name)
{
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " "))
            return static_cast<uint64_t>(std::stod(line.substr(name.size() + 1)));
    }
    return 0;
}

// Body of a response of the node, or nothing if there is none with status 200.
inline asio::awaitable<std::optional<std::string>> readFrom(asio::io_context& context, const Http::Endpoint& endpoint, std::string_view path)
{
    constexpr std::chrono::milliseconds timeout { 500 };
    Http::PersistentHttpClient client(context.get_executor(), endpoint);
    Http::HttpRequest request;
    request.target = path;
    auto result = co_await client.call(std::move(request), timeout);
    std::optional<std::string> body;
    if (Base::succeeded(result) && Base::valueOf(result).status == 200)
        body = Base::valueOf(result).body;
    co_return body;
}

// Returns nothing while the router does not respond.
inline asio::awaitable<std::optional<RouterMetrics>> readMetrics(SoakFleet& fleet, unsigned router)
{
    auto endpoint = fleet.metricsOf(router);
    auto body = co_await readFrom(fleet.context, endpoint, "/metrics");
    std::optional<RouterMetrics> metrics;
    if (body)
        metrics = RouterMetrics { readMetric(*body, "lavenderloft_configuration_version"), readMetric(*body, "lavenderloft_store_era") };
    co_return metrics;
}

// Whether the load balancer would send requests to the router.
inline asio::awaitable<bool> readReadiness(SoakFleet& fleet, unsigned router)
{
    Http::Endpoint endpoint { fleet.routers[router].address, fleet.readyPort() };
    auto body = co_await readFrom(fleet.context, endpoint, "/api/readyz");
    co_return body.has_value();
}

} // namespace Lavenderloft::Soak
