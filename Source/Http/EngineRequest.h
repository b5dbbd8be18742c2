#pragma once

#include "DesiredState/Document.h"
#include "Http/HttpMessage.h"

#include <string>

namespace Lavenderloft::Http {

// Sets the member "priority" of a request to a model engine, in which higher numbers run first. A body
// that is not a JSON object stays as it is, for the engine to refuse.
std::string withPriority(const std::string& body, DesiredState::PriorityClass);

// Requests the answer from a token onwards. Replaces a header that the caller sent, because only the router
// knows what the caller has received.
void setResumeFrom(HttpHeaders&, uint64_t token);

// Number of the first token that an engine's answer states; zero if it states none, the largest number if
// the header cannot be read, so that it equals none that was asked for.
uint64_t resumedFrom(const HttpHeaders&);

} // namespace Lavenderloft::Http
