// Tests of noticing a settings file that changes without a signal.

#include "file_watch.h"

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using basilsill::FileWatch;

TEST_GROUP(FileWatch) {
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

  /// Lets the watch look a few times.
  void Run(FileWatch & watch) {
    watch.Start();
    for (int i = 0; i < 3; ++i) {
      this->context.run_one();
    }
  }

  FileWatch Make() {
    return FileWatch(
        this->context, this->path, [this] { ++this->changes; },
        std::chrono::milliseconds(1));
  }
};

TEST(FileWatch, File_Unchanged_SaysNothing) {
  FileWatch watch = this->Make();
  this->Run(watch);
  CHECK_EQUAL(0, this->changes);
}

// An operator writes the file and sends no signal. The node would go on with
// the old settings until somebody remembers to.
TEST(FileWatch, File_Written_SaysSoOnce) {
  FileWatch watch = this->Make();
  this->Write("a=1\nb=2");
  this->Run(watch);
  CHECK_EQUAL(1, this->changes);
}

TEST(FileWatch, File_AwayForAMoment_SaysNothingUntilItIsBack) {
  FileWatch watch = this->Make();
  std::remove(this->path.c_str());
  this->Run(watch);
  CHECK_EQUAL(0, this->changes);
  this->Write("a=1\nb=22");
  for (int i = 0; i < 3; ++i) {
    this->context.run_one();
  }
  CHECK_EQUAL(1, this->changes);
}
