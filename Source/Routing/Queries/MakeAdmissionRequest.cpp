#include "Routing/Queries/MakeAdmissionRequest.h"

namespace Lavenderloft::Routing::Queries {

AdmissionRequest makeAdmissionRequest(const LiveRequest& request, const std::string& attemptId, const std::string& weightsDigest, Base::TimePoint now)
{
    AdmissionRequest admission;
    admission.attemptId = attemptId;
    admission.requestId = request.id;
    admission.organisation = request.organisation;
    admission.priorityClass = request.priorityClass;
    admission.timeLeft = request.deadline - now;
    admission.destination = request.destination;
    admission.weightsDigest = weightsDigest;
    admission.key = request.key;
    admission.repeatable = request.repeatable;
    admission.bodyBytes = request.message.body.size();
    admission.revision = request.revision;
    admission.fingerprint = request.fingerprint;
    admission.adapter = request.adapter;
    return admission;
}

} // namespace Lavenderloft::Routing::Queries
