#include "Admission/Queries/SilenceLimit.h"

namespace Lavenderloft::Admission::Queries {

namespace {

    constexpr std::chrono::milliseconds silenceLimitWithoutDeadline { 60000 };

} // namespace

std::chrono::milliseconds silenceLimit(const AdmissionRequest& request)
{
    return request.deadline.count() ? request.deadline : silenceLimitWithoutDeadline;
}

} // namespace Lavenderloft::Admission::Queries
