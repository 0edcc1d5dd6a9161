#include "published_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cbor.h"
#include "configuration_reader.h"
#include "document_patch.h"
#include "lentilcross/config.h"
#include "published_text.h"

namespace lentilcross {
namespace {

using Json = nlohmann::json;

// Numbers can be longer in CBOR than in JSON.
constexpr std::size_t kMaxCborSize =
    std::size_t{2} * LENTILCROSS_CONFIG_MAX_CONFIGURATION;
constexpr CborLimits kDocumentLimits = {
    /*depth=*/32, /*values=*/LENTILCROSS_CONFIG_MAX_CONFIGURATION / 2};

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

DocumentPointer Build(const Json& json, NameRules rules, Findings& findings) {
  auto configuration = ReadConfiguration(json, rules, findings);
  if (!configuration) return nullptr;
  auto document = std::make_shared<PublishedDocument>();
  document->cbor = ToCbor(json);
  if (document->cbor.size() > kMaxCborSize) {
    findings.Add("", "out of range: document too large");
    return nullptr;
  }
  document->checksum = HashName(document->cbor);
  static_cast<HostTable&>(*document) =
      HostTable::FromConfiguration(*configuration);
  document->configuration = std::move(configuration);
  return document;
}

bool IsAllowedOperation(const Json& operation) {
  if (!operation.is_object()) return false;
  const auto kind = operation.find("op");
  if (kind == operation.end()) return false;
  return *kind == "add" || *kind == "remove" || *kind == "replace" ||
         *kind == "test";
}

DocumentPointer Fail(Findings& findings, const char* text) {
  findings.Add("", text);
  return nullptr;
}

}  // namespace

HostTable HostTable::FromConfiguration(const Configuration& configuration) {
  HostTable table;
  for (const auto& [id, host] : configuration.hosts) table.hosts.push_back(id);
  // The order of a hash table varies between builds; peer selection must not.
  std::sort(table.hosts.begin(), table.hosts.end());
  for (const HostId id : table.hosts) {
    const HostEntry& host = configuration.hosts.at(id);
    table.hosts_by_domain[host.failure_domain].push_back(id);
    if (!host.lapsed) {
      table.readers_by_domain[host.failure_domain].push_back(id);
    }
  }
  return table;
}

std::optional<std::string> MakePatch(const PublishedDocument& from,
                                     const PublishedDocument& to,
                                     std::size_t max_size) {
  return MakeCborPatch(from.cbor, to.cbor, max_size);
}

std::string JoinPatches(const std::vector<const std::string*>& patches) {
  Json joined = Json::array();
  for (const std::string* patch : patches) {
    for (auto& operation : Json::from_cbor(*patch)) {
      joined.push_back(std::move(operation));
    }
  }
  return ToCbor(joined);
}

DocumentPointer DocumentStore::FromText(std::string_view text,
                                        Findings& findings) {
  const auto json = ParsePublishedText(text, findings);
  if (!json) return nullptr;
  return Build(*json, NameRules::kPlain, findings);
}

DocumentPointer DocumentStore::FromJson(const Json& json, Findings& findings) {
  return Build(json, NameRules::kForeign, findings);
}

DocumentPointer DocumentStore::FromCbor(std::string_view bytes,
                                        Findings& findings) {
  if (bytes.size() > kMaxCborSize) {
    return Fail(findings, "out of range: document too large");
  }
  const auto json = ParseCbor(bytes, kDocumentLimits);
  if (!json) return Fail(findings, "malformed CBOR");
  return Build(*json, NameRules::kForeign, findings);
}

DocumentPointer DocumentStore::FromPatch(const PublishedDocument& base,
                                         std::string_view patch,
                                         Findings& findings) {
  const auto operations = ParseCbor(patch, kDocumentLimits);
  if (!operations || !operations->is_array()) {
    return Fail(findings, "malformed patch");
  }
  if (!std::all_of(operations->begin(), operations->end(),
                   IsAllowedOperation)) {
    return Fail(findings, "operation not allowed in a patch");
  }
  try {
    Json document = Json::from_cbor(base.cbor);
    document.patch_inplace(*operations);
    return Build(document, NameRules::kForeign, findings);
  } catch (const Json::exception&) {
    return Fail(findings, "patch does not apply");
  }
}

template <typename Open>
DocumentPointer SharedDocumentStore::Share(Key key, Open open) {
  auto& shared = documents_[key];
  if (DocumentPointer document = shared.lock()) return document;
  DocumentPointer document = open();
  shared = document;
  return document;
}

DocumentPointer SharedDocumentStore::FromText(std::string_view text,
                                              Findings& findings) {
  return Share({0, HashName(text)},
               [&] { return DocumentStore::FromText(text, findings); });
}

DocumentPointer SharedDocumentStore::FromCbor(std::string_view bytes,
                                              Findings& findings) {
  return Share({1, HashName(bytes)},
               [&] { return DocumentStore::FromCbor(bytes, findings); });
}

DocumentPointer SharedDocumentStore::FromPatch(const PublishedDocument& base,
                                               std::string_view patch,
                                               Findings& findings) {
  return Share({base.checksum, HashName(patch)},
               [&] { return DocumentStore::FromPatch(base, patch, findings); });
}

}  // namespace lentilcross
