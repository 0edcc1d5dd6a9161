#include "document_patch.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "json_reader.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

/// Major types of CBOR (RFC 8949, section 3.1).
enum class Major : std::uint8_t {
  kUnsigned,
  kNegative,
  kBytes,
  kText,
  kArray,
  kMap,
  kTag,
  kSimple,
};

/// Arguments from here on stand in the following 1, 2, 4 or 8 bytes.
constexpr std::uint64_t kOneByte = 24;

struct Head {
  Major major = Major::kSimple;
  std::uint64_t argument = 0;  ///< Value, length or number of entries.
};

/// Reads items of definite length, one after the other.
class CborCursor {
 public:
  explicit CborCursor(std::string_view bytes) : rest_(bytes) {}

  Head ReadHead() {
    if (rest_.empty()) return {};
    const auto first = static_cast<std::uint8_t>(Take(1).front());
    Head head{static_cast<Major>(first >> 5), first & 0x1FU};
    if (head.argument < kOneByte) return head;
    const std::size_t size = std::size_t{1} << (head.argument - kOneByte);
    head.argument = 0;
    for (const char byte : Take(size)) {
      head.argument = head.argument << 8 | static_cast<std::uint8_t>(byte);
    }
    return head;
  }
  std::string_view ReadText() { return Take(ReadHead().argument); }
  /// Reads a whole item and returns its bytes.
  std::string_view ReadItem() {
    const std::string_view begin = rest_;
    Skip();
    return begin.substr(0, begin.size() - rest_.size());
  }

 private:
  std::string_view Take(std::uint64_t size) {
    const std::string_view taken = rest_.substr(0, size);
    rest_.remove_prefix(taken.size());
    return taken;
  }
  void Skip() {
    const Head head = ReadHead();
    switch (head.major) {
      case Major::kBytes:
      case Major::kText:
        Take(head.argument);
        return;
      case Major::kArray:
        for (std::uint64_t i = 0; i < head.argument && !rest_.empty(); ++i) {
          Skip();
        }
        return;
      case Major::kMap:
        for (std::uint64_t i = 0; i < 2 * head.argument && !rest_.empty();
             ++i) {
          Skip();
        }
        return;
      case Major::kTag:
        Skip();
        return;
      case Major::kUnsigned:
      case Major::kNegative:
      case Major::kSimple:
        return;
    }
  }

  std::string_view rest_;
};

/// Reads the members of an object in their order, which is that of the names.
class MemberCursor {
 public:
  explicit MemberCursor(std::string_view object)
      : cursor_(object), left_(cursor_.ReadHead().argument) {
    Next();
  }

  bool done() const { return done_; }
  std::string_view name() const { return name_; }
  std::string_view value() const { return value_; }

  void Next() {
    done_ = left_ == 0;
    if (done_) return;
    --left_;
    name_ = cursor_.ReadText();
    value_ = cursor_.ReadItem();
  }

 private:
  CborCursor cursor_;
  std::uint64_t left_;
  bool done_ = false;
  std::string_view name_;
  std::string_view value_;
};

Major MajorOf(std::string_view item) {
  return CborCursor(item).ReadHead().major;
}

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::string EncodeHead(const Head& head) {
  const auto first = static_cast<std::uint8_t>(head.major) << 5;
  if (head.argument < kOneByte) {
    return {static_cast<char>(first | head.argument)};
  }
  // 1, 2, 4 or 8 bytes follow.
  std::uint64_t info = kOneByte;
  std::size_t size = 1;
  while (size < 8 && head.argument >> (8 * size) != 0) {
    size *= 2;
    ++info;
  }
  std::string bytes = {static_cast<char>(first | info)};
  for (std::size_t i = size; i > 0; --i) {
    bytes += static_cast<char>(head.argument >> (8 * (i - 1)));
  }
  return bytes;
}

std::string EncodeText(std::string_view text) {
  return EncodeHead({Major::kText, text.size()}).append(text);
}

/// Writes the operations of a patch, up to a limit.
class PatchWriter {
 public:
  explicit PatchWriter(std::size_t max_size) : max_size_(max_size) {}

  void DiffObjects(std::string_view from, std::string_view to,
                   const std::string& place) {
    MemberCursor a(from);
    MemberCursor b(to);
    while (!full() && !(a.done() && b.done())) {
      if (b.done() || (!a.done() && a.name() < b.name())) {
        AddOperation("remove", JoinPointer(place, a.name()));
        a.Next();
      } else if (a.done() || b.name() < a.name()) {
        AddOperation("add", JoinPointer(place, b.name()), b.value());
        b.Next();
      } else {
        if (a.value() != b.value()) {
          DiffValues(a.value(), b.value(), JoinPointer(place, a.name()));
        }
        a.Next();
        b.Next();
      }
    }
  }

  std::optional<std::string> Finish() const {
    if (full()) return std::nullopt;
    return EncodeHead({Major::kArray, count_}) + operations_;
  }

 private:
  bool full() const { return operations_.size() > max_size_; }

  void DiffValues(std::string_view from, std::string_view to,
                  const std::string& place) {
    const Major major = MajorOf(from);
    if (major != MajorOf(to)) return AddOperation("replace", place, to);
    switch (major) {
      case Major::kMap:
        DiffObjects(from, to, place);
        return;
      case Major::kArray:
        for (const Json& operation :
             Json::diff(Json::from_cbor(from), Json::from_cbor(to), place)) {
          operations_ += ToCbor(operation);
          ++count_;
        }
        return;
      default:
        AddOperation("replace", place, to);
    }
  }

  /// Members are written in the order of their names.
  void AddOperation(const char* kind, const std::string& place) {
    BeginOperation(2, kind, place);
  }
  void AddOperation(const char* kind, const std::string& place,
                    std::string_view value) {
    BeginOperation(3, kind, place);
    operations_ += EncodeText("value");
    operations_ += value;
  }
  void BeginOperation(std::uint64_t members, const char* kind,
                      const std::string& place) {
    operations_ += EncodeHead({Major::kMap, members});
    operations_ += EncodeText("op");
    operations_ += EncodeText(kind);
    operations_ += EncodeText("path");
    operations_ += EncodeText(place);
    ++count_;
  }

  std::size_t max_size_;
  std::uint64_t count_ = 0;
  std::string operations_;
};

}  // namespace

std::optional<std::string> MakeCborPatch(std::string_view from,
                                         std::string_view to,
                                         std::size_t max_size) {
  PatchWriter writer(max_size);
  writer.DiffObjects(from, to, "");
  return writer.Finish();
}

}  // namespace lentilcross
