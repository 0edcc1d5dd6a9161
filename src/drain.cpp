#include "drain.h"

#include <utility>

namespace lentilcross {
namespace {

using std::chrono::steady_clock;

constexpr Duration kCheckInterval = std::chrono::milliseconds(10);
/// A request that was sent before its sender learned of the shutdown still
/// arrives within this time, and is refused with an answer.
constexpr Duration kQuiet = std::chrono::milliseconds(250);
/// Time for the last replies and the closing handshakes.
constexpr Duration kFlush = std::chrono::milliseconds(250);

}  // namespace

Drain::Drain(boost::asio::io_context& io, const Init& init, Hooks hooks)
    : timer_(io), init_(init), hooks_(std::move(hooks)) {}

void Drain::Begin() {
  if (step_ != Step::kIdle) return;
  step_ = Step::kDraining;
  began_ = steady_clock::now();
  last_busy_ = began_;
  hooks_.begin();
  RefuseAfterNotice(began_);
  Schedule();
}

void Drain::Schedule() {
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Check();
  });
}

void Drain::Check() {
  const Instant now = steady_clock::now();
  if (step_ == Step::kDraining) {
    CheckDraining(now);
  } else if (step_ == Step::kAborting && now - step_began_ > kFlush) {
    step_ = Step::kClosing;
    step_began_ = now;
    hooks_.close();
  } else if (step_ == Step::kClosing &&
             (hooks_.closed() || now - step_began_ > kFlush)) {
    hooks_.end(status_);
    return;
  }
  Schedule();
}

void Drain::RefuseAfterNotice(Instant now) {
  if (refusing_ || now - began_ < init_.notice) return;
  refusing_ = true;
  last_busy_ = now;
  hooks_.refuse();
}

void Drain::CheckDraining(Instant now) {
  RefuseAfterNotice(now);
  if (hooks_.running() > 0) last_busy_ = now;
  if (refusing_ && now - last_busy_ > kQuiet) {
    step_ = Step::kClosing;
    step_began_ = now;
    hooks_.close();
  } else if (init_.timeout > Duration::zero() && now - began_ > init_.timeout &&
             hooks_.running() > 0) {
    status_ = 1;
    step_ = Step::kAborting;
    step_began_ = now;
    hooks_.abort();
  }
}

}  // namespace lentilcross
