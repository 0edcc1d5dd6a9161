#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/findings.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Hosts, sorted by id so that the order is the same in every process.
struct HostTable {
  std::vector<HostId> hosts;
  std::unordered_map<FailureDomainId, std::vector<HostId>> hosts_by_domain;
  /// Hosts that may read the platform for others. Excludes hosts whose
  /// registration has lapsed.
  std::unordered_map<FailureDomainId, std::vector<HostId>> readers_by_domain;

  static HostTable FromConfiguration(const Configuration& configuration);
};

/// A valid published document. The parsed JSON is not kept: it takes about ten
/// times the memory of the CBOR and is needed only when the version changes.
struct PublishedDocument : HostTable {
  std::string cbor;            ///< With sorted object members.
  std::uint64_t checksum = 0;  ///< XXH64 of `cbor`.
  std::shared_ptr<const Configuration> configuration;

  Version version() const { return configuration->version; }
};

using DocumentPointer = std::shared_ptr<const PublishedDocument>;

/// Returns a JSON Patch (RFC 6902), encoded as CBOR, that transforms `from`
/// into `to`; nothing if it has more than `max_size` bytes.
std::optional<std::string> MakePatch(const PublishedDocument& from,
                                     const PublishedDocument& to,
                                     std::size_t max_size);
/// Concatenates the operations of several patches.
std::string JoinPatches(const std::vector<const std::string*>& patches);

/// Parses documents. All functions return null and add findings if the input is
/// invalid.
class DocumentStore {
 public:
  virtual ~DocumentStore() = default;

  virtual DocumentPointer FromText(std::string_view text, Findings& findings);
  DocumentPointer FromJson(const nlohmann::json& json, Findings& findings);
  virtual DocumentPointer FromCbor(std::string_view bytes, Findings& findings);
  /// Accepts only the operations add, remove, replace and test: with repeated
  /// copies, a short patch could build a document of any size.
  virtual DocumentPointer FromPatch(const PublishedDocument& base,
                                    std::string_view patch, Findings& findings);
};

/// Returns the same object for the same input while it is in use, to save
/// memory.
class SharedDocumentStore : public DocumentStore {
 public:
  DocumentPointer FromText(std::string_view text, Findings& findings) override;
  DocumentPointer FromCbor(std::string_view bytes, Findings& findings) override;
  DocumentPointer FromPatch(const PublishedDocument& base,
                            std::string_view patch,
                            Findings& findings) override;

 private:
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  template <typename Open>
  DocumentPointer Share(Key key, Open open);

  std::map<Key, std::weak_ptr<const PublishedDocument>> documents_;
};

}  // namespace lentilcross
