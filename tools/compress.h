#pragma once

#include <zlib.h>

#include <string>

namespace lentilcross {

/// Compresses with gzip, as operators do before they publish a large document.
inline std::string Compress(std::string text) {
  constexpr int kGzipWindow = 16 + MAX_WBITS;
  constexpr int kMemoryLevel = 8;
  z_stream stream{};
  deflateInit2(&stream, Z_BEST_COMPRESSION, Z_DEFLATED, kGzipWindow,
               kMemoryLevel, Z_DEFAULT_STRATEGY);
  std::string out(deflateBound(&stream, text.size()), '\0');
  stream.next_in = reinterpret_cast<Bytef*>(text.data());
  stream.avail_in = static_cast<uInt>(text.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  deflate(&stream, Z_FINISH);
  out.resize(stream.total_out);
  deflateEnd(&stream);
  return out;
}

}  // namespace lentilcross
