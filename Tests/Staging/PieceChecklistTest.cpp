#include "Staging/PieceChecklist.h"
#include "Base/Digest.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

// Guards against accepting a piece of which a byte has changed.
Test(PieceChecklist, detectsACorruptPiece)
{
    PieceChecklist checklist({ "m", 2, { Base::sha256("first"), Base::sha256("second") } });
    cr_assert(checklist.matches(0, "first"));
    cr_assert_not(checklist.matches(0, "Second"));
    cr_assert_not(checklist.matches(2, "first"));
    checklist.markPresent(0);
    cr_assert_not(checklist.isComplete());
    cr_assert_eq(checklist.missing().size(), 1);
    checklist.markPresent(1);
    cr_assert(checklist.isComplete());
    checklist.markMissing(0);
    cr_assert_eq(checklist.missing().front(), 0);
}

// Guards against a manifest that is lost or damaged when the engine restarts: the pieces are then verified again from
// the start, against the digests of the same manifest.
Test(PieceChecklist, keepsTheManifestWhenAllPiecesAreMissingAgain)
{
    PieceChecklist checklist({ "m", 2, { Base::sha256("first"), Base::sha256("second") } });
    checklist.markPresent(0);
    checklist.markPresent(1);
    checklist.markAllMissing();
    cr_assert_eq(checklist.missing().size(), 2);
    cr_assert_eq(checklist.manifest().version, 2);
    cr_assert(checklist.matches(0, "first"));
    cr_assert(checklist.matches(1, "second"));
}
