#pragma once

#include <array>
#include <limits>
#include <string>
#include <vector>

#include "peer_message_schema.h"

namespace lentilcross {

/// Schema visitor that fills each field with a random value within its limits
/// and counts the fields.
class RandomFiller {
 public:
  explicit RandomFiller(Random& random) : random_(random) {}

  template <typename Tag>
  void Identifier(Id<Tag>& id, IdRule rule) {
    ++fields_;
    const bool may_be_invalid = rule == IdRule::kMayBeInvalid;
    id = Id<Tag>(may_be_invalid && Below(4) == 0 ? 0 : 1 + Number() / 2);
  }
  void VersionNumber(Version& version) {
    ++fields_;
    version = Version(Number());
  }
  template <typename T>
  void Integer(T& value, std::uint64_t max = std::numeric_limits<T>::max()) {
    ++fields_;
    const std::uint64_t number = Number();
    value = static_cast<T>(max == std::numeric_limits<std::uint64_t>::max()
                               ? number
                               : number % (max + 1));
  }
  template <typename E>
  void Enumerator(E& value, int count) {
    ++fields_;
    value = static_cast<E>(Below(static_cast<std::uint64_t>(count)));
  }
  void Flag(bool& value) {
    ++fields_;
    value = Below(2) == 1;
  }
  void Quantity(double& value) {
    ++fields_;
    value = std::uniform_real_distribution<double>(0, kMaxQuantity)(random_);
  }
  void Time(Duration& value) {
    ++fields_;
    const auto max = static_cast<std::uint64_t>(kMaxPeerDuration.count());
    value = Duration(static_cast<Duration::rep>(Number() % (max + 1)));
  }
  void Text(std::string& value, std::size_t max) { Bytes(value, max); }
  void Bytes(std::string& value, std::size_t max) {
    ++fields_;
    value.resize(Below(std::min<std::size_t>(max, 40) + 1));
    for (char& c : value) c = static_cast<char>(Below(256));
  }
  template <std::size_t N>
  void FixedBytes(std::array<std::uint8_t, N>& value) {
    ++fields_;
    for (auto& byte : value) byte = static_cast<std::uint8_t>(Below(256));
  }
  template <typename T>
  void Record(T& value) {
    ++fields_;
    RandomFiller inner(random_);
    Schema<T>::Visit(inner, value);
  }
  template <typename T>
  void List(std::vector<T>& values, std::size_t max) {
    ++fields_;
    values.resize(Below(std::min<std::size_t>(max, 5) + 1));
    for (T& value : values) Record(value);
    fields_ -= values.size();
  }

  std::size_t fields() const { return fields_; }

 private:
  /// Small and large numbers are equally likely: they have different CBOR.
  std::uint64_t Number() { return random_() >> Below(64); }
  std::uint64_t Below(std::uint64_t end) { return random_() % end; }

  Random& random_;
  std::size_t fields_ = 0;
};

/// Restores the rules that span several fields.
inline void FixTogether(PeerMessage& message) {
  if (auto* delta = std::get_if<ConfigDelta>(&message)) {
    delta->from = Version(delta->from.value() / 2);
    delta->to = Version(delta->from.value() + 1 + delta->to.value() / 4);
  }
  if (auto* part = std::get_if<ConfigSnapshot>(&message)) {
    part->version = Version(part->version.value() / 2 + 1);
    part->pieces = part->piece + 1;
  }
  if (auto* delta = std::get_if<RegistryDelta>(&message)) {
    delta->to = delta->to / 2 + 1;
    delta->from %= delta->to + 1;
    delta->pieces = delta->from > 0 ? 1 : delta->piece + 1;
    delta->piece = delta->pieces - 1;
  }
  if (auto* reply = std::get_if<Reply>(&message)) {
    if (reply->status < 100) reply->status = 0;
  }
}

template <std::size_t Kind = 0>
PeerMessage RandomMessage(std::size_t kind, Random& random) {
  if constexpr (Kind < std::variant_size_v<PeerMessage>) {
    if (kind != Kind) return RandomMessage<Kind + 1>(kind, random);
    std::variant_alternative_t<Kind, PeerMessage> value;
    RandomFiller filler(random);
    Schema<decltype(value)>::Visit(filler, value);
    PeerMessage message = std::move(value);
    FixTogether(message);
    return message;
  } else {
    return {};
  }
}

}  // namespace lentilcross
