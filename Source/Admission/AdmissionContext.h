#pragma once

#include "DesiredState/Document.h"
#include "Settings/ProcessSettings.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Admission {

// State of the agent and its target on which admission decisions are based.
struct AdmissionContext {
    // The desired state in force; null until the first one is received.
    std::shared_ptr<const DesiredState::Document> document;
    std::string vm;
    std::string dataCentre;
    Settings::TargetKind kind = Settings::TargetKind::Model;
    // Name of the plain service; empty for a model engine.
    std::string service;
    // Pool and digest of the weights that the engine serves; empty if it serves none.
    std::string servedPool;
    std::string servedDigest;
    // Adapters reported by the engine.
    std::vector<std::string> servedAdapters;
    // Whether the process is stopping.
    bool isLeaving = false;
    // Whether the engine is about to load different weights.
    bool isSwitching = false;
    // Whether the process has contacted its engine, and a peer or the configuration service, since it started and
    // since its last pause.
    bool isSynchronised = false;
};

} // namespace Lavenderloft::Admission
