// Entry point shared by all CppUTest programs of the workspace.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  // CppUTest's own leak detector is not thread-safe; the AddressSanitizer run
  // of the same tests detects leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
