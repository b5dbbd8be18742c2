#include "DesiredState/Queries/DiffSections.h"

#include <set>

namespace Lavenderloft::DesiredState::Queries {

namespace {

    bool containSameNames(const std::vector<std::string>& one, const std::vector<std::string>& other)
    {
        // Key homes depend on the set of VM names and not on their order.
        return std::set(one.begin(), one.end()) == std::set(other.begin(), other.end());
    }

    void diffVms(const Service& old, const Service& service, ConsequenceList& consequences)
    {
        if (containSameNames(old.vms, service.vms))
            return;
        auto subject = "service " + service.name;
        auto added = joinNames(missingNames(service.vms, old.vms));
        auto removed = joinNames(missingNames(old.vms, service.vms));
        auto change = "VMs added: " + added + "; removed: " + removed;
        if (!old.paused) {
            consequences.addRefusal(subject, change + "; key homes would move while calls run",
                "first publish \"paused\": true with the old VMs and wait until `status` shows that revision on every home");
            return;
        }
        consequences.addNote(subject, change);
        consequences.addWarning(subject, "keys move to other homes, which have no record of them",
            "publish this only after the service was paused for " + std::to_string(old.resendWindow.count()) + " ms, within which callers may resend");
    }

    void diffService(const Service& old, const Service& service, ConsequenceList& consequences)
    {
        auto subject = "service " + service.name;
        diffVms(old, service, consequences);
        consequences.addChange(subject, "limit", old.limit, service.limit);
        consequences.addChange(subject, "resendWindowMs", old.resendWindow.count(), service.resendWindow.count());
        if (old.paused != service.paused)
            consequences.addNote(subject, service.paused ? "is paused: calls that may not be repeated are not run" : "is no longer paused");
    }

    std::string describeTarget(const Route& route)
    {
        auto target = (route.kind == RouteKind::ToPool ? "pool " : "service ") + route.destination;
        return route.adapter.empty() ? target : target + " with adapter " + abbreviateDigest(route.adapter);
    }

    std::string describeRepeatable(const Route& route)
    {
        return route.repeatable ? "may be repeated" : "may not be repeated";
    }

    std::string describeClass(PriorityClass priorityClass)
    {
        switch (priorityClass) {
        case PriorityClass::Hazard:
            return "hazard";
        case PriorityClass::Interactive:
            return "interactive";
        case PriorityClass::Summary:
            return "summary";
        }
        return "";
    }

    // Reports the differences for calls to one path between the routes that match it before and after.
    void diffCalls(const std::string& subject, const Route& old, const Route& route, ConsequenceList& consequences)
    {
        if (describeTarget(old) != describeTarget(route))
            consequences.addNote(subject, "calls go to " + describeTarget(route) + " instead of " + describeTarget(old));
        if (old.priorityClass != route.priorityClass)
            consequences.addNote(subject, "class " + describeClass(old.priorityClass) + " -> " + describeClass(route.priorityClass));
        if (old.repeatable == route.repeatable)
            return;
        if (route.repeatable)
            consequences.addWarning(subject, "calls may now be repeated and so run more than once", "publish this only if they are idempotent");
        else
            consequences.addNote(subject, "calls may no longer be repeated: each needs an idempotency key and is never retried");
    }

    const Route* findExactRoute(const Document& document, const std::string& path)
    {
        auto route = std::find_if(document.routes.begin(), document.routes.end(), [&](const Route& candidate) { return candidate.path == path; });
        return route == document.routes.end() ? nullptr : &*route;
    }

    void diffRemovedRoute(const Route& old, const Document& after, ConsequenceList& consequences)
    {
        auto subject = "route " + old.path;
        auto* fallback = after.findRoute(old.path);
        if (!fallback) {
            consequences.addWarning(subject, "is removed; its calls have no route", "keep it until callers no longer use it");
            return;
        }
        consequences.addNote(subject, "is removed; its calls match " + fallback->path);
        diffCalls(subject, old, *fallback, consequences);
    }

    void diffAddedRoute(const Document& before, const Route& route, ConsequenceList& consequences)
    {
        auto subject = "route " + route.path;
        consequences.addNote(subject, "is added to " + describeTarget(route) + "; calls " + describeRepeatable(route));
        auto* former = before.findRoute(route.path);
        if (!former)
            return;
        consequences.addNote(subject, "takes over calls that matched " + former->path);
        diffCalls(subject, *former, route, consequences);
    }

} // namespace

void diffServices(const Document& before, const Document& after, ConsequenceList& consequences)
{
    for (auto& old : before.services) {
        if (after.findService(old.name))
            continue;
        consequences.addNote("service " + old.name, "is removed");
        if (!old.paused)
            consequences.addWarning("service " + old.name, "is removed while calls may run", "publish \"paused\": true first");
    }
    for (auto& service : after.services) {
        if (auto* old = before.findService(service.name))
            diffService(*old, service, consequences);
        else
            consequences.addNote("service " + service.name, "is added on " + joinNames(service.vms));
    }
}

void diffRoutes(const Document& before, const Document& after, ConsequenceList& consequences)
{
    for (auto& old : before.routes) {
        if (!findExactRoute(after, old.path))
            diffRemovedRoute(old, after, consequences);
    }
    for (auto& route : after.routes) {
        if (auto* old = findExactRoute(before, route.path))
            diffCalls("route " + route.path, *old, route, consequences);
        else
            diffAddedRoute(before, route, consequences);
    }
}

} // namespace Lavenderloft::DesiredState::Queries
