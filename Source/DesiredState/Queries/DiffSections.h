#pragma once

#include "DesiredState/Queries/DiffDocuments.h"

#include <algorithm>
#include <string>
#include <vector>

// Implementation of diffDocuments, with one function per section of the document.
namespace Lavenderloft::DesiredState::Queries {

class ConsequenceList {
public:
    void addNote(const std::string& subject, std::string message) { m_list.push_back({ Severity::Note, subject, std::move(message), {} }); }

    void addWarning(const std::string& subject, std::string message, std::string remedy)
    {
        m_list.push_back({ Severity::Warning, subject, std::move(message), std::move(remedy) });
    }

    void addRefusal(const std::string& subject, std::string message, std::string remedy)
    {
        m_list.push_back({ Severity::Refusal, subject, std::move(message), std::move(remedy) });
    }

    // Adds a note if the values of a field differ.
    template <typename Value>
    void addChange(const std::string& subject, const std::string& field, const Value& before, const Value& after)
    {
        if (before != after)
            addNote(subject, field + " " + std::to_string(before) + " -> " + std::to_string(after));
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

// Names of the data centres that are in and in which the pool may have replicas.
std::vector<std::string> eligibleDataCentres(const Document&, const Pool&);

// The first digits of a digest, enough to tell versions apart in printed output.
std::string abbreviateDigest(const std::string& digest);

// The names separated by commas; "none" if there are none.
std::string joinNames(const std::vector<std::string>&);

// The names in `from` that are not in `in`.
std::vector<std::string> missingNames(const std::vector<std::string>& from, const std::vector<std::string>& in);

} // namespace Lavenderloft::DesiredState::Queries
