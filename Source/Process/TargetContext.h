#pragma once

#include "Admission/AdmissionContextSource.h"
#include "Admission/TargetState.h"
#include "Base/RandomSource.h"
#include "Http/HttpClient.h"
#include "Membership/Member.h"
#include "Observability/Metrics.h"
#include "Settings/ProcessSettings.h"

namespace Lavenderloft::Process {

// State and dependencies shared by all exchanges of an agent. Referenced objects must outlive the HTTP client's
// threads.
struct TargetContext {
    TargetContext(uint64_t agentIncarnation, Settings::TargetKind targetKind, Http::Endpoint targetEndpoint, const Admission::AdmissionContextSource&, Http::HttpClient&, const Base::Clock&, Base::RandomSource&, Observability::Metrics&);

    // Grants free slots to waiting requests.
    void grantWaiting();

    Membership::TargetLoad load() const;

    Settings::TargetKind kind;
    Http::Endpoint endpoint;
    Admission::TargetState state;
    const Admission::AdmissionContextSource& contextSource;
    Http::HttpClient& client;
    const Base::Clock& clock;
    Base::RandomSource& random;
    Observability::Metrics& metrics;
};

} // namespace Lavenderloft::Process
