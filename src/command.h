#pragma once

#include <cxxopts.hpp>
#include <string>

namespace lentilcross {

/// Exit statuses of all subcommands.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFindings = 1;
inline constexpr int kExitUnusable = 2;

// Subcommands. `argv[0]` is the subcommand's name.
int CommandDaemon(int argc, char** argv);
int CommandCheck(int argc, char** argv);
int CommandStatus(int argc, char** argv);
int CommandAudit(int argc, char** argv);
int CommandLoad(int argc, char** argv);

/// Parses the arguments of a subcommand. Prints the help with its example for
/// `--help`, or what is wrong; empty then, with the exit status in `status`.
std::optional<cxxopts::ParseResult> ParseArguments(cxxopts::Options& options,
                                                   const std::string& example,
                                                   int argc, char** argv,
                                                   int* status);

/// Prints a usage error and returns `kExitUnusable`.
int Unusable(const std::string& text);

}  // namespace lentilcross
