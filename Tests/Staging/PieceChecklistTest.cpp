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
