#include "DesiredState/Document.h"

#include <algorithm>

namespace Lavenderloft::DesiredState {

namespace {

    template <typename Entry>
    const Entry* findByName(const std::vector<Entry>& entries, const std::string& name)
    {
        auto entry = std::find_if(entries.begin(), entries.end(), [&](const Entry& candidate) { return candidate.name == name; });
        return entry == entries.end() ? nullptr : &*entry;
    }

    bool matchesPrefix(const std::string& path, const std::string& prefix)
    {
        if (path.compare(0, prefix.size(), prefix))
            return false;
        return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/' || path[prefix.size()] == '?';
    }

} // namespace

const Pool* Document::findPool(const std::string& name) const
{
    return findByName(pools, name);
}

const Service* Document::findService(const std::string& name) const
{
    return findByName(services, name);
}

const DataCentre* Document::findDataCentre(const std::string& name) const
{
    return findByName(dataCentres, name);
}

const Organisation* Document::findOrganisation(const std::string& name) const
{
    return findByName(organisations, name);
}

const Route* Document::findRoute(const std::string& path) const
{
    const Route* best = nullptr;
    for (auto& route : routes) {
        if (matchesPrefix(path, route.path) && (!best || route.path.size() > best->path.size()))
            best = &route;
    }
    return best;
}

bool Document::isDataCentreOut(const std::string& name) const
{
    auto* dataCentre = findDataCentre(name);
    return dataCentre && dataCentre->state == DataCentreState::Out;
}

bool Document::isDrained(const std::string& vm) const
{
    return std::find(drains.begin(), drains.end(), vm) != drains.end();
}

} // namespace Lavenderloft::DesiredState
