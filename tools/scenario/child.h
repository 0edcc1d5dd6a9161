#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace lentilcross::scenario {

/// A process that the scenario started. It is killed with its owner, also when
/// the scenario program itself is killed.
class Child {
 public:
  Child() = default;
  /// Standard output and error go to `log`.".out" and `log`.".log".
  Child(const std::vector<std::string>& command, const std::string& log);
  ~Child();
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;

  pid_t pid() const { return pid_; }
  bool running();
  void Signal(int signal) const;
  /// Exit status, or 128 plus the signal that ended it; empty while it runs.
  std::optional<int> exit_status();
  /// Kills it and waits for its end.
  void Kill();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace lentilcross::scenario
