#include "Routing/Queries/ReadRequest.h"

#include "Base/RendezvousHash.h"
#include "Routing/IdempotencyKey.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <strings.h>

namespace Lavenderloft::Routing::Queries {

namespace {

    // Number of body bytes that are hashed for prefix cache affinity.
    constexpr size_t prefixBytes = 256;

    const std::string* findHeader(const CallerRequest& message, const char* name)
    {
        auto header = std::find_if(message.headers.begin(), message.headers.end(), [&](auto& candidate) { return !strcasecmp(candidate.name.c_str(), name); });
        return header == message.headers.end() ? nullptr : &header->value;
    }

    RoutingError malformed(const char* header, const std::string& value, const char* remedy)
    {
        return { ErrorCode::MalformedHeader, std::string("header ") + header + " has the value \"" + value.substr(0, maximumNameBytes) + "\"", remedy, Outcome::NotRun, {} };
    }

    bool isName(const std::string& value)
    {
        return !value.empty() && value.size() <= maximumNameBytes && std::all_of(value.begin(), value.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    }

    std::optional<RoutingError> readOrganisation(LiveRequest& request)
    {
        auto* value = findHeader(request.message, "X-Organisation");
        request.organisation = value ? *value : defaultOrganisation;
        if (value && !isName(*value))
            return malformed("X-Organisation", *value, "send 1 to 128 printable characters without spaces");
        return std::nullopt;
    }

    std::optional<RoutingError> readPriority(LiveRequest& request)
    {
        constexpr std::array<std::string_view, DesiredState::priorityClassCount> names { "hazard", "interactive", "summary" };
        auto* value = findHeader(request.message, "X-Priority");
        if (!value)
            return std::nullopt;
        auto name = std::find(names.begin(), names.end(), *value);
        if (name == names.end())
            return malformed("X-Priority", *value, "send hazard, interactive or summary");
        request.priorityClass = static_cast<DesiredState::PriorityClass>(name - names.begin());
        return std::nullopt;
    }

    std::optional<RoutingError> readDeadline(LiveRequest& request, Base::TimePoint now)
    {
        request.deadline = now + defaultDeadline;
        auto* value = findHeader(request.message, "X-Deadline-Ms");
        if (!value)
            return std::nullopt;
        int64_t milliseconds = 0;
        auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), milliseconds);
        if (error != std::errc() || end != value->data() + value->size() || milliseconds < 1 || milliseconds > maximumDeadline.count())
            return malformed("X-Deadline-Ms", *value, "send a whole number of milliseconds from 1 to 600000");
        request.deadline = now + std::chrono::milliseconds(milliseconds);
        return std::nullopt;
    }

    std::optional<RoutingError> readKey(LiveRequest& request, Base::WallTime now, Base::RandomSource& random)
    {
        if (request.repeatable)
            return std::nullopt;
        if (auto* value = findHeader(request.message, "Idempotency-Key")) {
            if (!isName(*value))
                return malformed("Idempotency-Key", *value, "send 1 to 128 printable characters without spaces, preferably a UUID version 7");
            request.key = *value;
            request.keyFromCaller = true;
            return std::nullopt;
        }
        request.key = makeIdempotencyKey(now, random);
        return std::nullopt;
    }

    std::optional<RoutingError> readDestination(LiveRequest& request, const DesiredState::Document& document)
    {
        auto* route = document.findRoute(request.message.path);
        if (!route)
            return RoutingError { ErrorCode::NoRoute, "no route matches the path " + request.message.path.substr(0, 256), "use a path listed under routes in the desired state", Outcome::NotRun, {} };
        request.kind = route->kind;
        request.destination = route->destination;
        request.adapter = route->adapter;
        request.priorityClass = route->priorityClass;
        request.revision = document.revision;
        request.repeatable = route->kind == DesiredState::RouteKind::ToPool || route->repeatable;
        auto* service = route->kind == DesiredState::RouteKind::ToService ? document.findService(route->destination) : nullptr;
        if (!service || request.repeatable)
            return std::nullopt;
        request.keyHomes = service->vms;
        if (service->paused)
            return RoutingError { ErrorCode::ServicePaused, "service " + service->name + " does not run non-repeatable calls while its list of VMs changes", "send the call again later with the same key", Outcome::NotRun, std::chrono::seconds(5) };
        return std::nullopt;
    }

    void addHashes(LiveRequest& request)
    {
        auto seed = Base::stableHash(request.organisation);
        request.fingerprint = Base::stableHash(request.message.body, seed);
        if (request.kind == DesiredState::RouteKind::ToPool)
            request.prefix = Base::stableHash(std::string_view(request.message.body).substr(0, prefixBytes), seed);
    }

} // namespace

Base::Result<LiveRequest, RoutingError> readRequest(CallerRequest message, const DesiredState::Document& document, ArrivalTime time, Base::RandomSource& random)
{
    LiveRequest request;
    request.id = random.nextIdentifier();
    request.message = std::move(message);
    if (auto error = readDestination(request, document))
        return *error;
    if (auto error = readOrganisation(request))
        return *error;
    if (auto error = readPriority(request))
        return *error;
    if (auto error = readDeadline(request, time.now))
        return *error;
    if (auto error = readKey(request, time.wallTime, random))
        return *error;
    addHashes(request);
    return request;
}

} // namespace Lavenderloft::Routing::Queries
