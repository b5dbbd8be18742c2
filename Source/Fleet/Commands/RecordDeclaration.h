#pragma once

#include "Fleet/FleetSnapshot.h"

#include <vector>

namespace Lavenderloft::Fleet::Commands {

// Declarations of one model, oldest first.
using DeclarationHistory = std::vector<DeclaredWeights>;

// Records a declaration from a published item, or a more accurate time of a known one. An item has only the last version
// of its key, so a version before it may have been missed: it is assumed to have been declared at `missedSince`, the
// earliest time that is possible. Returns the entries that changed.
std::vector<DeclaredWeights> recordDeclaration(DeclarationHistory&, const DeclaredWeights&, Base::TimePoint missedSince);

// Records a declaration that another node observed, unless it is newer than the last published one. Returns the entries
// that changed.
std::vector<DeclaredWeights> recordObservedDeclaration(DeclarationHistory&, const DeclaredWeights&);

} // namespace Lavenderloft::Fleet::Commands
