#include "Admission/Queries/AdaptersInUse.h"

namespace Lavenderloft::Admission::Queries {

std::set<std::string> adaptersInUse(const PermitTable& table)
{
    std::set<std::string> adapters;
    table.attempts.forEach([&](const std::string&, const AttemptRecord& record) {
        bool isOpen = record.state == AttemptState::Granted || record.state == AttemptState::Running;
        if (isOpen && !record.permit.adapter.empty())
            adapters.insert(record.permit.adapter);
    });
    return adapters;
}

} // namespace Lavenderloft::Admission::Queries
