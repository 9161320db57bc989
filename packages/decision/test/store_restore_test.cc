// Tests of what a VM knows of restores of the platform's store.

#include "basilsill/decision/store_restore.h"

#include <CppUTest/TestHarness.h>

using basilsill::EraResult;
using basilsill::LeaseTime;
using basilsill::StoreRestore;
using namespace std::chrono_literals;

TEST_GROUP(StoreRestore) {
  StoreRestore restore;
  LeaseTime now{10s};
};

TEST(StoreRestore, FirstEra_NoCallFailedBefore_CountsAsRewritten) {
  CHECK(this->restore.OnEra(this->now, 3) == EraResult::kNew);
  CHECK(this->restore.IsRewritten(this->now));
}

// Failure: a VM starts while the store is being restored, and takes the copy
// for the newest state.
TEST(StoreRestore, FirstEra_AfterFailedCalls_MayBeRestored) {
  this->restore.OnCallFailed();
  this->restore.OnEra(this->now, 3);
  CHECK_FALSE(this->restore.IsRewritten(this->now + 2s));
  CHECK(this->restore.IsRewritten(this->now + 3s));
}

TEST(StoreRestore, LaterEra_Known_RewrittenAfterItsTime) {
  this->restore.OnEra(this->now, 0);
  CHECK(this->restore.OnEra(this->now, 1) == EraResult::kNew);
  CHECK_FALSE(this->restore.IsRewritten(this->now + 2s));
  CHECK(this->restore.IsRewritten(this->now + 3s));
  CHECK(this->restore.era_since() == this->now);
}

// Failure: an answer of the era before arrives late, on another connection.
TEST(StoreRestore, EarlierEra_AfterALaterOne_IsOutdated) {
  this->restore.OnEra(this->now, 2);
  CHECK(this->restore.OnEra(this->now, 1) == EraResult::kOutdated);
  CHECK_EQUAL(2, this->restore.era());
}

// Failure: two VMs report the same restore to each other for ever, and no VM
// answers 404 any more.
TEST(StoreRestore, Reports_Repeated_DoNotExtendTheTime) {
  this->restore.OnEra(this->now, 2);
  this->restore.OnRestoreReported(this->now);
  this->restore.OnRestoreReported(this->now + 2s);
  CHECK(this->restore.IsRewritten(this->now + 3s));
}
