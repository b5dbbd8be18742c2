#pragma once

#include "Base/Result.h"
#include "DesiredState/Document.h"
#include "Json/Problem.h"

#include <string>
#include <string_view>

namespace Lavenderloft::DesiredState::Queries {

// Parses and validates a desired state document. The result depends only on the bytes, so that all processes accept
// and refuse the same documents.
Base::Result<Document, Json::CheckError> parseDocument(std::string_view bytes);

// SHA-256 of a published document. It identifies the document and orders documents with the same revision.
std::string documentDigest(std::string_view bytes);

} // namespace Lavenderloft::DesiredState::Queries
