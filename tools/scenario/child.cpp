#include "child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace lentilcross::scenario {
namespace {

void Redirect(const std::string& path, int to) {
  const int file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file >= 0) dup2(file, to);
}

}  // namespace

Child::Child(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Redirect(log + ".out", STDOUT_FILENO);
  Redirect(log + ".log", STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

Child::~Child() { Kill(); }

Child::Child(Child&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(other.status_) {}

Child& Child::operator=(Child&& other) noexcept {
  if (this == &other) return *this;
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  status_ = other.status_;
  return *this;
}

bool Child::running() { return pid_ > 0 && !exit_status(); }

void Child::Signal(int signal) const {
  if (pid_ > 0 && !status_) kill(pid_, signal);
}

std::optional<int> Child::exit_status() {
  int raw = 0;
  if (pid_ > 0 && !status_ && waitpid(pid_, &raw, WNOHANG) == pid_) {
    status_ = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
  }
  return status_;
}

void Child::Kill() {
  if (pid_ <= 0 || status_) return;
  kill(pid_, SIGKILL);
  int raw = 0;
  waitpid(pid_, &raw, 0);
  status_ = 128 + SIGKILL;
}

}  // namespace lentilcross::scenario
