#include "cassiabend/base/compression.h"

#include <zstd.h>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

/// Deltas of routes shrink to a fifth at this level; higher levels cost much
/// more time for few bytes.
constexpr int kCompressionLevel = 1;

}  // namespace

std::string Compress(std::string_view bytes) {
  std::string out(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t n = ZSTD_compress(out.data(), out.size(), bytes.data(),
                                      bytes.size(), kCompressionLevel);
  if (ZSTD_isError(n) != 0) {
    throw Error("compress", std::to_string(bytes.size()) + " bytes",
                ZSTD_getErrorName(n));
  }
  out.resize(n);
  out.shrink_to_fit();
  return out;
}

std::string Decompress(std::string_view frame, std::size_t max_bytes) {
  const std::string where = std::to_string(frame.size()) + " bytes";
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    throw Error("decompress", where,
                "not a zstd frame that states the size of its content");
  }
  if (size > max_bytes) {
    throw Error("decompress", where, "the content is larger than the limit");
  }
  std::string out(size, '\0');
  const std::size_t n =
      ZSTD_decompress(out.data(), out.size(), frame.data(), frame.size());
  if (ZSTD_isError(n) != 0) {
    throw Error("decompress", where, ZSTD_getErrorName(n));
  }
  out.resize(n);
  return out;
}

}  // namespace cassiabend
