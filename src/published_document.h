#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lentilcross/configuration.h"
#include "lentilcross/findings.h"
#include "lentilcross/types.h"

namespace lentilcross {

/// Hosts in an order that is the same in every process.
struct HostTable {
  std::vector<HostId> hosts;
  std::unordered_map<FailureDomainId, std::vector<HostId>> hosts_by_domain;
  /// Hosts that may read the platform for others: all that have not lapsed.
  std::unordered_map<FailureDomainId, std::vector<HostId>> readers_by_domain;

  static HostTable FromConfiguration(const Configuration& configuration);
};

/// One valid published document. The DOM is not kept: it takes about ten times
/// the memory of the CBOR, and is needed only when the version changes.
struct PublishedDocument : HostTable {
  std::string cbor;            ///< Of the document with sorted members.
  std::uint64_t checksum = 0;  ///< XXH64 of `cbor`.
  std::shared_ptr<const Configuration> configuration;

  Version version() const { return configuration->version; }
};

using DocumentPointer = std::shared_ptr<const PublishedDocument>;

/// JSON Patch (RFC 6902) in CBOR that leads from one document to another.
std::string MakePatch(const PublishedDocument& from,
                      const PublishedDocument& to);
/// One patch with the operations of several, in order.
std::string JoinPatches(const std::vector<const std::string*>& patches);

/// Opens documents. All functions return null, with findings, for invalid
/// input.
class DocumentStore {
 public:
  virtual ~DocumentStore() = default;

  virtual DocumentPointer FromText(std::string_view text, Findings& findings);
  virtual DocumentPointer FromCbor(std::string_view bytes, Findings& findings);
  /// Accepts only the operations add, remove, replace and test: a chain of
  /// copies would let a short patch build a document of any size.
  virtual DocumentPointer FromPatch(const PublishedDocument& base,
                                    std::string_view patch, Findings& findings);
};

/// Keeps what is in use, so that many users share one copy.
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
