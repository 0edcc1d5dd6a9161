#pragma once

#include <unordered_map>

#include "caller.h"
#include "fake_target.h"
#include "lentilcross/admission.h"
#include "world.h"

namespace lentilcross::bench {

/// A target host: a daemon's admission in front of a fake target, and the
/// onward calls of that target.
class Node {
 public:
  Node(World& world, std::size_t hop);

  void Receive(const RequestPtr& request, std::uint16_t extra,
               OnReply on_reply);
  void Restart();
  FakeTarget& target() { return target_; }
  const TargetAdmission& admission() const { return admission_; }

 private:
  struct Held {
    RequestPtr request;
    std::uint16_t extra = 0;
    OnReply on_reply;
    Instant arrived{};
  };
  void Offer(std::uint64_t number);
  void Apply(const TargetAdmission::Actions& actions);
  void Refuse(const TargetAdmission::Refused& refused);
  void Run(std::uint64_t number);
  void OnTargetEnd(std::uint64_t number, FakeTarget::End end);
  void CountRefused(const Request& request, Instant lower_since);
  void CallOnward(std::uint64_t number);
  void Complete(std::uint64_t number, CallReply reply);
  void ScheduleTick();
  ServiceLevel OwnLevel(const Request& request) const;

  World& world_;
  std::size_t hop_;
  FakeTarget target_;
  TargetAdmission admission_;
  Caller caller_;
  std::unordered_map<std::uint64_t, Held> held_;
  std::uint64_t next_number_ = 1;
  bool tick_scheduled_ = false;
  Instant lower_started_{};  ///< Last start below critical.
};

}  // namespace lentilcross::bench
