#pragma once

#include "DesiredState/Document.h"
#include "Json/ProblemSink.h"

namespace Lavenderloft::DesiredState::Queries {

// Validates the names, digests, references and limits of a document. Empty texts represent fields that the parser
// has reported already.
void checkDocument(const Document&, Json::ProblemSink&);

} // namespace Lavenderloft::DesiredState::Queries
