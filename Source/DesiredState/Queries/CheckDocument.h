#pragma once

#include "DesiredState/Document.h"
#include "Json/ProblemSink.h"

namespace Lavenderloft::DesiredState::Queries {

// Reports what is wrong with the values of a document and between them: names, digests, references
// and limits. Empty texts stand for fields that were reported before.
void checkDocument(const Document&, Json::ProblemSink&);

} // namespace Lavenderloft::DesiredState::Queries
