#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "endpoint.h"
#include "lentilcross/types.h"
#include "platform_source.h"

namespace lentilcross {

/// Client of the platform's interface in section 3.2 of the design.
class PlatformClient : public PlatformSource {
 public:
  struct Init {
    std::vector<Endpoint> endpoints;
    Duration timeout = std::chrono::seconds(2);  ///< On top of a wait.
  };
  PlatformClient(boost::asio::io_context& io, const Init& init, Hooks hooks);
  ~PlatformClient() override;

  void Read(Version after, Duration wait) override;
  bool reading() const override;
  void ReadHosts() override;

  const PlatformClientStats& stats() const override;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lentilcross
