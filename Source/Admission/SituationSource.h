#pragma once

#include "Admission/Situation.h"

namespace Lavenderloft::Admission {

// Tells what the agent knows at this moment. May be called from any thread.
class SituationSource {
public:
    virtual ~SituationSource() = default;

    virtual Situation situation() const = 0;
};

} // namespace Lavenderloft::Admission
