#pragma once

#include "Base/Result.h"
#include "DesiredState/Document.h"
#include "Json/Problem.h"

#include <string>
#include <string_view>

namespace Lavenderloft::DesiredState::Queries {

// Reads and checks a desired state as operators publish it. The result depends on the bytes alone, so
// that all processes accept and refuse the same documents.
Base::Result<Document, Json::CheckError> parseDocument(std::string_view bytes);

// Identity of a published document; two documents with one revision are ordered by it.
std::string documentDigest(std::string_view bytes);

} // namespace Lavenderloft::DesiredState::Queries
