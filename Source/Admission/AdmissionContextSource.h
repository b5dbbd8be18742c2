#pragma once

#include "Admission/AdmissionContext.h"

namespace Lavenderloft::Admission {

// Tells what the agent knows at this moment. May be called from any thread.
class AdmissionContextSource {
public:
    virtual ~AdmissionContextSource() = default;

    virtual AdmissionContext admissionContext() const = 0;
};

} // namespace Lavenderloft::Admission
