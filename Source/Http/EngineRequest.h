#pragma once

#include "DesiredState/Document.h"
#include "Http/HttpMessage.h"

#include <string>

namespace Lavenderloft::Http {

// Returns the request body with its member "priority" set; the engine runs higher numbers first. A body that
// is not a JSON object, or is nested too deeply, is returned unchanged and left for the engine to judge.
std::string withPriority(const std::string& body, DesiredState::PriorityClass);

// Sets the header that asks the engine to resume the response at a token; zero removes it. A header sent by the
// caller is replaced, because only the router knows which tokens the caller has received.
void setResumeFrom(HttpHeaders&, uint64_t token);

// Returns the number of the first token according to the response headers of the engine: zero without the header,
// and the largest value if it is malformed, so that it differs from every token that a router asks for.
uint64_t resumedFrom(const HttpHeaders&);

} // namespace Lavenderloft::Http
