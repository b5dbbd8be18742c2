#pragma once

#include "DesiredState/Queries/DiffDocuments.h"

#include <algorithm>
#include <string>
#include <vector>

// The parts of diffDocuments, one for each section of the document.
namespace Lavenderloft::DesiredState::Queries {

// Collects the consequences for one subject after another.
class ConsequenceList {
public:
    void note(const std::string& subject, std::string message) { m_list.push_back({ Severity::Note, subject, std::move(message), {} }); }

    void warn(const std::string& subject, std::string message, std::string remedy)
    {
        m_list.push_back({ Severity::Warning, subject, std::move(message), std::move(remedy) });
    }

    void refuse(const std::string& subject, std::string message, std::string remedy)
    {
        m_list.push_back({ Severity::Refusal, subject, std::move(message), std::move(remedy) });
    }

    // A note for a field that differs.
    template <typename Value>
    void noteChange(const std::string& subject, const std::string& field, const Value& before, const Value& after)
    {
        if (before != after)
            note(subject, field + " " + std::to_string(before) + " -> " + std::to_string(after));
    }

    std::vector<Consequence> take() { return std::move(m_list); }

private:
    std::vector<Consequence> m_list;
};

void diffDataCentres(const Document& before, const Document& after, ConsequenceList&);
void diffPools(const Document& before, const Document& after, ConsequenceList&);
void diffServices(const Document& before, const Document& after, ConsequenceList&);
void diffRoutes(const Document& before, const Document& after, ConsequenceList&);
void diffOrganisations(const Document& before, const Document& after, ConsequenceList&);
void diffDrains(const Document& before, const Document& after, ConsequenceList&);

// Names of the data centres that are in and may hold replicas of the pool.
std::vector<std::string> usableDataCentres(const Document&, const Pool&);

// The first digits of a digest, enough to tell versions apart by eye.
std::string shownDigest(const std::string& digest);

// The texts separated by commas, or "none".
std::string joinNames(const std::vector<std::string>&);

// The names of the first list that the second lacks.
std::vector<std::string> namesMissing(const std::vector<std::string>& from, const std::vector<std::string>& in);

} // namespace Lavenderloft::DesiredState::Queries
