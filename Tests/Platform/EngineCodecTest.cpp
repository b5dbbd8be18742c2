#include "platform/EngineCodec.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Platform;

// Guards against misreading a report or a manifest.
Test(EngineCodec, readsReportAndManifest)
{
    EngineCodec codec;
    auto report = codec.readReport({ 200, {}, R"({"layers":{"from":0,"to":16,"version":2},"busy":true,"sequence":7,"queued":1,"active":12,"kv_used":41,"kv_total":90,"born":1782253595882,"pace":1.5})" });
    cr_assert(Base::succeeded(report));
    cr_assert_eq(Base::valueOf(report).running, 12);
    cr_assert_eq(Base::valueOf(report).layers->version, 2);
    cr_assert(Base::valueOf(report).busy);
    cr_assert_eq(Base::valueOf(report).acceptedLoads, std::optional<uint64_t>(7));
    cr_assert_eq(Base::valueOf(report).startedAt, 1782253595882);
    cr_assert(Base::errorOf(codec.readReport({ 200, {}, "[]" })).kind == Staging::EngineErrorKind::Malformed);
    auto manifest = codec.readManifest({ 200, {}, R"({"model":"m","version":2,"digests":["aa","bb"]})" });
    cr_assert_eq(Base::valueOf(manifest).digests.size(), 2);
    cr_assert(Base::errorOf(codec.readManifest({ 404, {}, "" })).kind == Staging::EngineErrorKind::NotFound);
}

// Guards against requests that the platform does not accept.
Test(EngineCodec, encodesRequests)
{
    EngineCodec codec;
    cr_assert_eq(codec.pieceRequest("m", 2, 5).target, "/api/piece/m?sample_count=5&version=2");
    cr_assert_eq(codec.storePieceRequest("m", 5, "x").target, "/api/stage-put/m?sample_count=5");
    cr_assert_eq(codec.storePieceRequest("m", 5, "x").method, "PUT");
    cr_assert_eq(codec.loadRequest({ "m", { 0, 16, 2 }, true, Staging::LoadMode::FinishRunning, std::nullopt }).body, R"({"mode":"queue","model":"m","operation":"start","version":2})");
    cr_assert_eq(codec.loadRequest({ "m", { 0, 8, 2 }, false, Staging::LoadMode::AbortRunning, 3 }).body, R"({"expected":3,"from":0,"mode":"truncate","model":"m","operation":"start","to":8,"version":2})");
    cr_assert(codec.readLoadResponse({ 202, {}, "" }) == Staging::LoadResponse::Started);
    cr_assert(codec.readLoadResponse({ 409, {}, "" }) == Staging::LoadResponse::Conflict);
}
