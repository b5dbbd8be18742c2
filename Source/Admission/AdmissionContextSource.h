#pragma once

#include "Admission/AdmissionContext.h"

namespace Lavenderloft::Admission {

// Provides the current admission context. Thread-safe.
class AdmissionContextSource {
public:
    virtual ~AdmissionContextSource() = default;

    virtual AdmissionContext admissionContext() const = 0;
};

} // namespace Lavenderloft::Admission
