#include <array>

#include "api_key_command.h"
#include "command.h"
#include "explain_command.h"
#include "load_command.h"
#include "platform_command.h"
#include "resource_commands.h"
#include "upstream_command.h"

namespace basilsill::ctl {
namespace {

constexpr std::array kCommands = {
    Command{"apply", "make resources be as a file says", RunApply},
    Command{"get", "show a resource", RunGet},
    Command{"list", "show resources", RunList},
    Command{"delete", "delete a resource", RunDelete},
    Command{"drain", "keep new work away from a data centre", RunDrain},
    Command{"undrain", "take a drained data centre back", RunUndrain},
    Command{"watch", "follow changes of resources", RunWatch},
    Command{"api-key", "make an API key of a team, or digest one", RunApiKey},
    Command{"status", "show the state of an installation", RunStatus},
    Command{"explain", "what became of one request, from logs", RunExplain},
    Command{"platform", "emulated platform: log, VM list, faults", RunPlatform},
    Command{"upstream", "emulated upstream instances", RunUpstream},
    Command{"load", "sends load, checks and measures", RunLoadCommand},
};

}  // namespace

std::span<const Command> AllCommands() {
  return kCommands;
}

}  // namespace basilsill::ctl
