// Entry point of `basilsillctl`: the operators' tool, the load generator and
// the emulators.

#include "command.h"

int main(int argc, char** argv) {
  return basilsill::ctl::RunTool({argv, argv + argc});
}
