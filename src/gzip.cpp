#include "gzip.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace lentilcross {
namespace {

// zlib: 16 on top of the window size selects the gzip format.
constexpr int kGzipWindow = 16 + MAX_WBITS;
constexpr std::size_t kChunkSize = 65536;

class Inflater {
 public:
  explicit Inflater(std::string_view bytes) {
    // zlib does not write to its input; its interface only lacks the const.
    stream_.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream_.avail_in = static_cast<uInt>(bytes.size());
    valid_ = inflateInit2(&stream_, kGzipWindow) == Z_OK;
  }
  ~Inflater() {
    if (valid_) inflateEnd(&stream_);
  }
  Inflater(const Inflater&) = delete;
  Inflater& operator=(const Inflater&) = delete;

  GzipStatus Run(std::size_t max_size, std::string& out) {
    std::array<char, kChunkSize> chunk;
    int status = valid_ ? Z_OK : Z_STREAM_ERROR;
    while (status == Z_OK) {
      stream_.next_out = reinterpret_cast<Bytef*>(chunk.data());
      stream_.avail_out = kChunkSize;
      status = inflate(&stream_, Z_NO_FLUSH);
      const std::size_t size = kChunkSize - stream_.avail_out;
      if (size > max_size - out.size()) return GzipStatus::kTooLarge;
      out.append(chunk.data(), size);
    }
    const bool whole = status == Z_STREAM_END && stream_.avail_in == 0;
    return whole ? GzipStatus::kOk : GzipStatus::kMalformed;
  }

 private:
  z_stream stream_{};
  bool valid_ = false;
};

}  // namespace

bool IsGzip(std::string_view bytes) {
  return bytes.size() > 2 && bytes[0] == '\x1f' && bytes[1] == '\x8b';
}

GzipStatus Decompress(std::string_view bytes, std::size_t max_size,
                      std::string& out) {
  out.clear();
  return Inflater(bytes).Run(max_size, out);
}

}  // namespace lentilcross
