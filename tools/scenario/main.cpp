// Runs one scripted scenario against real processes on loopback. Exit status 0
// if every step succeeded and every expectation held, 1 if not, 2 if the script
// cannot be used.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "runner.h"

namespace lentilcross::scenario {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Blocks of ports below those of scripts/demo.sh.
constexpr int kFirstPort = 10'000;
constexpr int kPortsPerScenario = 100;
constexpr unsigned kBlocks = 100;

// Holds the first port of a free block, which reserves the block against
// scenarios that run at the same time.
class PortBlock {
 public:
  PortBlock() {
    std::random_device random;
    for (;;) {
      first_ =
          kFirstPort + kPortsPerScenario * static_cast<int>(random() % kBlocks);
      boost::system::error_code error;
      Tcp::acceptor acceptor(context_);
      acceptor.open(Tcp::v4(), error);
      acceptor.bind({asio::ip::address_v4::loopback(),
                     static_cast<std::uint16_t>(first_)},
                    error);
      if (!error) acceptor.listen(1, error);
      if (error) continue;
      acceptor_ = std::make_unique<Tcp::acceptor>(std::move(acceptor));
      return;
    }
  }

  int first() const { return first_; }

 private:
  asio::io_context context_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  int first_ = 0;
};

std::vector<Statement> AllStatements() {
  std::vector<Statement> all;
  for (auto group :
       {Declarations(), Faults(), Waits(), Expectations(), Measures()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

// A failed expectation does not end the run, so that all are reported. Any
// other failed step does, because later steps depend on it.
bool RunSteps(Runner& runner, const Script& script,
              const std::vector<Statement>& statements) {
  std::cout << std::fixed << std::setprecision(2);
  const auto start = std::chrono::steady_clock::now();
  bool held = true;
  for (const Step& step : script.steps) {
    const Failure failure = statements[step.statement].run(runner, step);
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - start;
    const bool declared = failure.empty() && runner.standins.empty();
    if (declared) continue;
    std::cout << (failure.empty() ? "held   " : "FAILED ") << elapsed.count()
              << "s " << step.line << ": " << step.text << std::endl;
    if (failure.empty()) continue;
    std::cout << "    " << failure << std::endl;
    held = false;
    if (step.text.rfind("expect ", 0) != 0) return false;
  }
  return held;
}

std::string MakeDirectory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "lentilcross-XXXXXX").string();
  return mkdtemp(name.data()) == nullptr ? "" : name;
}

int Run(const std::string& path, const std::string& programs,
        const std::string& deployment, std::uint64_t seed) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const auto statements = AllStatements();
  std::vector<std::string> patterns;
  patterns.reserve(statements.size());
  for (const auto& statement : statements) {
    patterns.push_back(statement.pattern);
  }
  const Script script = ParseScript(text.str(), patterns);
  for (const auto& error : script.errors) {
    std::cerr << path << ":" << error << "\n";
  }
  if (!file || !script.errors.empty() || script.steps.empty()) return 2;
  const PortBlock ports;
  Runner runner;
  runner.program_directory = programs;
  const char* binary = std::getenv("LENTILCROSS_BINARY");
  runner.lentilcross = binary != nullptr ? binary : programs + "/lentilcross";
  runner.work = MakeDirectory();
  runner.scenario = std::filesystem::path(path).stem().string();
  runner.seed = seed;
  runner.fleet.deployment = *DeploymentOf(deployment);
  runner.fleet.base_port = ports.first();
  const bool held = RunSteps(runner, script, statements);
  runner.loads.clear();
  runner.daemons.clear();
  runner.standins.clear();
  if (std::getenv("LENTILCROSS_SCENARIO_KEEP") != nullptr) {
    std::cout << "settings and logs: " << runner.work << "\n";
  } else {
    std::filesystem::remove_all(runner.work);
  }
  return held ? 0 : 1;
}

}  // namespace
}  // namespace lentilcross::scenario

int main(int argc, char** argv) {
  const std::string deployment = argc > 3 ? argv[3] : "cedarhoop";
  const std::uint64_t seed = argc > 4 ? std::strtoull(argv[4], nullptr, 10) : 1;
  if (argc < 3 || argc > 5 || seed == 0 ||
      !lentilcross::scenario::DeploymentOf(deployment)) {
    std::cerr << "usage: lentilcross_scenario SCRIPT PROGRAM_DIRECTORY "
                 "[cedarhoop|brierley [SEED]]\n";
    return 2;
  }
  return lentilcross::scenario::Run(argv[1], argv[2], deployment, seed);
}
