// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/compression.h"

#include "Base/error.h"

#include <fmt/format.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace Yokepond::Base {

namespace {

/// Of Zstandard's 1 to 22, its default.
constexpr int compressionLevel = 3;
/// Logarithms of the distance over which equal parts are found; the library takes none below.
constexpr int leastWindowLog = 10;
constexpr int mostWindowLog = 27;

struct FreeCompressor
{
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
};

struct FreeExpander
{
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

/// A window over the known text and the new one together.
int windowLog(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), leastWindowLog, mostWindowLog);
}

} // namespace

absl::StatusOr<std::string> compress(std::string_view text, std::string_view known)
{
    const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog(text.size() + known.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), known.data(), known.size());
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        return makeError(ErrorKind::Internal, fmt::format("text cannot be compressed: {}", ZSTD_getErrorName(size)));
    }
    bytes.resize(size);
    return bytes;
}

absl::StatusOr<std::string> decompress(std::string_view bytes, std::string_view known, std::size_t most)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > most) {
        return makeError(ErrorKind::InvalidValue, fmt::format("no compressed text, or one of more than {} bytes", most));
    }
    const std::unique_ptr<ZSTD_DCtx, FreeExpander> context(ZSTD_createDCtx());
    ZSTD_DCtx_refPrefix(context.get(), known.data(), known.size());
    std::string text(static_cast<std::size_t>(size), '\0');
    const std::size_t made = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(made) != 0) {
        return makeError(ErrorKind::InvalidValue, fmt::format("compressed text is damaged: {}", ZSTD_getErrorName(made)));
    }
    return text;
}

} // namespace Yokepond::Base
