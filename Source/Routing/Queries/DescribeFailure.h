#pragma once

#include "Routing/AttemptFailure.h"

namespace Lavenderloft::Routing::Queries {

// The failure that a refusal is. A key that the caller sent may have been used before.
AttemptFailure refusalFailure(const Refusal&, bool keyFromCaller);

// The failure of an answer that the target did not complete.
AttemptFailure incompleteAnswer(const AnswerEnd&);

// The failure of an answer that cannot be the right one.
AttemptFailure unusableAnswer(std::string message);

// The failure of a stream that broke before or after the request was sent.
AttemptFailure brokenStream(bool isSent, bool isRepeatable);

// How long a target that refused is better left alone.
Base::Duration pauseAfter(const Refusal&);

} // namespace Lavenderloft::Routing::Queries
