#pragma once

#include "DesiredState/Document.h"
#include "Settings/ProcessSettings.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Admission {

// What an agent knows of itself and its target when it decides on a request.
struct AdmissionContext {
    // The document in force; null before the first one.
    std::shared_ptr<const DesiredState::Document> document;
    std::string vm;
    std::string dataCentre;
    Settings::TargetKind kind = Settings::TargetKind::Model;
    // Name of the plain service; empty for a model engine.
    std::string service;
    // Pool and digest of the weights that the engine serves; empty while it serves none.
    std::string servedPool;
    std::string servedDigest;
    // Adapters that the engine lists.
    std::vector<std::string> servedAdapters;
    // Whether this process has been told to stop.
    bool isLeaving = false;
    // Whether the engine is about to load other weights.
    bool isSwitching = false;
    // Whether the process has heard a peer or the service, and its engine, since its start and since its last pause.
    bool isSynchronised = false;
};

} // namespace Lavenderloft::Admission
