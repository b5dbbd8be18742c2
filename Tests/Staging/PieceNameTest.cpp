#include "Staging/PieceName.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

// Guards against a piece request that the receiving agent decodes as a different piece.
Test(PieceName, roundTrips)
{
    PieceName name { "m-1", 7, 31, "r-a" };
    cr_assert(decodePiecePath(encodePiecePath(name)) == name);
    for (auto* path : { "/piece/r/m/2", "/piece/r/m/2/x", "/piece/r/m/2/3/4", "/items/r/m/2/3", "/piece/" })
        cr_expect_not(decodePiecePath(path).has_value(), "%s was accepted", path);
}
