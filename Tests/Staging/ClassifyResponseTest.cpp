#include "Staging/Queries/ClassifyResponse.h"
#include "Base/Digest.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

namespace {

SourceOutcome classify(const Base::Result<Http::HttpResponse, Http::HttpError>& result)
{
    PieceChecklist checklist({ "m", 2, { Base::sha256("piece") } });
    return Queries::classifyResponse(result, checklist, 0);
}

} // namespace

// Guards against storing a corrupt piece, and against excluding an agent that is only busy.
Test(ClassifyResponse, distinguishesTheReasonsOfAFailure)
{
    cr_assert_eq(classify(Http::HttpResponse { 200, {}, "piece" }), SourceOutcome::Delivered);
    cr_assert_eq(classify(Http::HttpResponse { 200, {}, "pieces" }), SourceOutcome::Corrupt);
    cr_assert_eq(classify(Http::HttpResponse { 404, {}, "piece" }), SourceOutcome::NotAvailable);
    cr_assert_eq(classify(Http::HttpResponse { 503, {}, "piece" }), SourceOutcome::Busy);
    cr_assert_eq(classify(Http::HttpError { Http::HttpErrorKind::TimedOut, "the server did not respond", "retry" }), SourceOutcome::Unreachable);
}
