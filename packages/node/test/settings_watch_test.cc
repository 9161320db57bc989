// Tests of detecting changes of a settings file without a signal.

#include "settings_watch.h"

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using basilsill::SettingsWatch;

TEST_GROUP(SettingsWatch) {
  std::string path =
      "/tmp/basilsill-watch-" + std::to_string(::getpid()) + ".conf";
  boost::asio::io_context context;
  size_t changes = 0;

  void setup() override {
    this->Write("a=1");
  }
  void teardown() override {
    std::remove(this->path.c_str());
  }

  void Write(const std::string& text) {
    std::ofstream(this->path) << text;
  }

  /// Lets the watch check the file a few times.
  void Run(SettingsWatch & watch) {
    watch.Start();
    for (int i = 0; i < 3; ++i) {
      this->context.run_one();
    }
  }

  SettingsWatch Make() {
    return SettingsWatch(
        this->context, this->path, [this] { ++this->changes; },
        std::chrono::milliseconds(1));
  }
};

TEST(SettingsWatch, File_Unchanged_IsNotReported) {
  SettingsWatch watch = this->Make();
  this->Run(watch);
  CHECK_EQUAL(0, this->changes);
}

// Failure: an operator writes the file and sends no signal. Without the watch,
// the node keeps the old settings until someone sends one.
TEST(SettingsWatch, File_Written_IsReportedOnce) {
  SettingsWatch watch = this->Make();
  this->Write("a=1\nb=2");
  this->Run(watch);
  CHECK_EQUAL(1, this->changes);
}

TEST(SettingsWatch, File_BrieflyMissing_IsReportedOnceReplaced) {
  SettingsWatch watch = this->Make();
  std::remove(this->path.c_str());
  this->Run(watch);
  CHECK_EQUAL(0, this->changes);
  this->Write("a=1\nb=22");
  for (int i = 0; i < 3; ++i) {
    this->context.run_one();
  }
  CHECK_EQUAL(1, this->changes);
}
