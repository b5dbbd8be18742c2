#include "Configuration/Queries/DocumentDelta.h"

#include <memory>
#include <zstd.h>

namespace Lavenderloft::Configuration::Queries {

namespace {

    // Twice the size limit of documents in the configuration service, as a margin.
    constexpr size_t maximumDocumentBytes = 2 * 1024 * 1024;
    constexpr int compressionLevel = 3;
    // A window of 2^22 bytes covers a document of maximumDocumentBytes and a base of the same size.
    constexpr int windowLog = 22;

    DeltaError makeUnreadableError(const char* reason)
    {
        return { DeltaErrorKind::Unreadable, std::string("the document delta cannot be applied: ") + reason, "fetch the complete document" };
    }

} // namespace

std::string makeDelta(std::string_view base, std::string_view target)
{
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string delta(ZSTD_compressBound(target.size()), '\0');
    auto size = ZSTD_compress2(context.get(), delta.data(), delta.size(), target.data(), target.size());
    delta.resize(ZSTD_isError(size) ? 0 : size);
    return delta;
}

Base::Result<std::string, DeltaError> applyDelta(std::string_view base, std::string_view delta)
{
    auto size = ZSTD_getFrameContentSize(delta.data(), delta.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return makeUnreadableError("the zstd frame header is invalid or has no content size");
    if (size > maximumDocumentBytes)
        return DeltaError { DeltaErrorKind::TooLarge, "the document delta expands to " + std::to_string(size) + " bytes, more than " + std::to_string(maximumDocumentBytes), "publish a document below one megabyte" };
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, windowLog);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string target(size, '\0');
    auto written = ZSTD_decompressDCtx(context.get(), target.data(), target.size(), delta.data(), delta.size());
    if (ZSTD_isError(written))
        return makeUnreadableError(ZSTD_getErrorName(written));
    target.resize(written);
    return target;
}

} // namespace Lavenderloft::Configuration::Queries
