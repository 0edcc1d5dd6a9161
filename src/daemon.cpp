#include "daemon.h"

#include <openssl/rand.h>

#include <thread>
#include <utility>

#include "control_loop.h"
#include "data_loop.h"
#include "ring.h"
#include "thread_messages.h"

namespace lentilcross {
namespace {

/// Handshakes always carry a proof. Without authentication every process can
/// make it.
const char* const kNoPeerKey = "no-peer-authentication";

Incarnation RandomIncarnation() {
  std::uint64_t value = 0;
  while (value == 0) {
    RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value));
  }
  return Incarnation(value);
}

Findings Check(const DaemonInit& init) {
  Findings findings;
  if (init.host.empty()) findings.Add("/host", "missing");
  if (init.failure_domain.empty()) findings.Add("/failure_domain", "missing");
  const bool one_or_two = !init.peer_keys.empty() && init.peer_keys.size() <= 2;
  if (!one_or_two) findings.Add("/peer_keys", "one or two keys are needed");
  for (const std::string& key : init.peer_keys) {
    if (key.empty()) findings.Add("/peer_keys", "empty key");
  }
  return findings;
}

}  // namespace

struct Daemon::Impl {
  Impl(std::unique_ptr<DataLoop> data_loop,
       std::unique_ptr<ControlLoop> control_loop)
      : data(std::move(data_loop)),
        control(std::move(control_loop)),
        to_data(
            data->io(),
            [this](ToData&& message) { data->OnMessage(std::move(message)); }),
        to_control(control->io(), [this](ToControl&& message) {
          control->OnMessage(std::move(message));
        }) {}

  std::unique_ptr<DataLoop> data;
  std::unique_ptr<ControlLoop> control;
  Ring<ToData> to_data;
  Ring<ToControl> to_control;
};

Result<std::unique_ptr<Daemon>> Daemon::Create(DaemonInit init) {
  if (!init.peer_authentication) init.peer_keys = {kNoPeerKey};
  Findings findings = Check(init);
  if (!findings.empty()) return boost::leaf::new_error(std::move(findings));
  const Incarnation incarnation = RandomIncarnation();
  BOOST_LEAF_AUTO(data, DataLoop::Create(init, incarnation));
  BOOST_LEAF_AUTO(control, ControlLoop::Create(init, incarnation));
  return std::unique_ptr<Daemon>(
      new Daemon(std::make_unique<Impl>(std::move(data), std::move(control))));
}

Daemon::Daemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Daemon::~Daemon() = default;

int Daemon::Run() {
  std::thread control([this] { impl_->control->Run(impl_->to_data); });
  const int status = impl_->data->Run(impl_->to_control);
  impl_->control->Stop();
  control.join();
  return status;
}

void Daemon::RequestShutdown() { impl_->data->RequestShutdown(); }

Endpoint Daemon::caller() const { return impl_->data->caller(); }
Endpoint Daemon::onward() const { return impl_->data->onward(); }
Endpoint Daemon::peer() const { return impl_->data->peer(); }

}  // namespace lentilcross
