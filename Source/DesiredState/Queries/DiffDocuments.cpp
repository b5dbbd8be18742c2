#include "DesiredState/Queries/DiffDocuments.h"

#include "DesiredState/Queries/DiffSections.h"

namespace Lavenderloft::DesiredState::Queries {

namespace {

    void diffRevision(const Document& before, const Document& after, ConsequenceList& consequences)
    {
        if (after.revision > before.revision) {
            consequences.addChange("revision", "changes", before.revision, after.revision);
            return;
        }
        consequences.addRefusal("revision", "revision " + std::to_string(after.revision) + " is not greater than " + std::to_string(before.revision),
            "raise \"revision\" to " + std::to_string(before.revision + 1) + " or more");
    }

    bool hasReplicas(const Document& document, const std::string& dataCentre)
    {
        return std::any_of(document.pools.begin(), document.pools.end(), [&](const Pool& pool) {
            auto eligible = eligibleDataCentres(document, pool);
            return pool.replicas && std::find(eligible.begin(), eligible.end(), dataCentre) != eligible.end();
        });
    }

    void diffDataCentre(const DataCentre& old, const DataCentre& dataCentre, ConsequenceList& consequences)
    {
        auto subject = "data centre " + dataCentre.name;
        if (old.region != dataCentre.region)
            consequences.addWarning(subject, "region " + old.region + " -> " + dataCentre.region, "change the settings of its VMs too");
        if (old.state == dataCentre.state)
            return;
        if (dataCentre.state == DataCentreState::Out)
            consequences.addNote(subject, "is taken out: its targets and entry VMs get no new work");
        else
            consequences.addNote(subject, "is put back in: its targets begin with a slow start");
    }

    std::vector<std::string> regionNames(const Document& document)
    {
        std::vector<std::string> names;
        for (auto& region : document.regions)
            names.push_back(region.name);
        return names;
    }

} // namespace

std::vector<std::string> eligibleDataCentres(const Document& document, const Pool& pool)
{
    std::vector<std::string> names;
    for (auto& dataCentre : document.dataCentres) {
        bool isAllowed = pool.dataCentres.empty() || std::find(pool.dataCentres.begin(), pool.dataCentres.end(), dataCentre.name) != pool.dataCentres.end();
        if (isAllowed && dataCentre.state == DataCentreState::In)
            names.push_back(dataCentre.name);
    }
    return names;
}

std::string joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (auto& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text.empty() ? "none" : text;
}

std::vector<std::string> missingNames(const std::vector<std::string>& from, const std::vector<std::string>& in)
{
    std::vector<std::string> missing;
    for (auto& name : from) {
        if (std::find(in.begin(), in.end(), name) == in.end())
            missing.push_back(name);
    }
    return missing;
}

void diffDataCentres(const Document& before, const Document& after, ConsequenceList& consequences)
{
    for (auto& name : missingNames(regionNames(before), regionNames(after)))
        consequences.addNote("region " + name, "is removed");
    for (auto& name : missingNames(regionNames(after), regionNames(before)))
        consequences.addNote("region " + name, "is added");
    for (auto& old : before.dataCentres) {
        if (!after.findDataCentre(old.name))
            consequences.addWarning("data centre " + old.name, "is removed", "take it out first, so that its running requests end");
    }
    for (auto& dataCentre : after.dataCentres) {
        auto* old = before.findDataCentre(dataCentre.name);
        if (old)
            diffDataCentre(*old, dataCentre, consequences);
        else
            consequences.addNote("data centre " + dataCentre.name, "is added");
        bool hadReplicas = old && hasReplicas(before, dataCentre.name);
        bool isOut = dataCentre.state == DataCentreState::Out;
        if (!isOut && hadReplicas && !hasReplicas(after, dataCentre.name))
            consequences.addWarning("data centre " + dataCentre.name, "is left without replicas", "add it to a pool or take it out");
    }
}

void diffOrganisations(const Document& before, const Document& after, ConsequenceList& consequences)
{
    for (auto& old : before.organisations) {
        if (!after.findOrganisation(old.name))
            consequences.addNote("organisation " + old.name, "is removed");
    }
    for (auto& organisation : after.organisations) {
        auto subject = "organisation " + organisation.name;
        if (auto* old = before.findOrganisation(organisation.name))
            consequences.addChange(subject, "share", old->share, organisation.share);
        else
            consequences.addNote(subject, "is added with a share of " + std::to_string(organisation.share));
    }
}

void diffDrains(const Document& before, const Document& after, ConsequenceList& consequences)
{
    for (auto& name : missingNames(before.drains, after.drains))
        consequences.addNote("VM " + name, "is no longer drained");
    for (auto& name : missingNames(after.drains, before.drains)) {
        consequences.addNote("VM " + name, "is drained: it gets no new work");
        for (auto& service : after.services) {
            if (std::find(service.vms.begin(), service.vms.end(), name) != service.vms.end())
                consequences.addWarning("service " + service.name, "calls whose key home is " + name + " are refused while it is drained", "move its key homes instead");
        }
    }
}

std::vector<Consequence> diffDocuments(const Document& before, const Document& after)
{
    ConsequenceList consequences;
    diffRevision(before, after, consequences);
    diffDataCentres(before, after, consequences);
    diffPools(before, after, consequences);
    diffServices(before, after, consequences);
    diffRoutes(before, after, consequences);
    diffOrganisations(before, after, consequences);
    diffDrains(before, after, consequences);
    return consequences.take();
}

} // namespace Lavenderloft::DesiredState::Queries
