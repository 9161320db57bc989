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
    Command{"apply", "create or update resources from a file", RunApply},
    Command{"get", "show a resource", RunGet},
    Command{"list", "show resources", RunList},
    Command{"delete", "delete a resource", RunDelete},
    Command{"drain", "stop routing new work to a data centre", RunDrain},
    Command{"undrain", "end the drain of a data centre", RunUndrain},
    Command{"watch", "follow changes of resources", RunWatch},
    Command{"api-key", "generate an API key for a team, or digest one",
            RunApiKey},
    Command{"status", "show the state of an installation", RunStatus},
    Command{"explain", "show the course of one request from logs", RunExplain},
    Command{"platform", "emulated platform: log, VM list, faults", RunPlatform},
    Command{"upstream", "emulated upstream instances", RunUpstream},
    Command{"load", "generate load, check responses, measure latency",
            RunLoadCommand},
};

}  // namespace

std::span<const Command> AllCommands() {
  return kCommands;
}

}  // namespace basilsill::ctl
