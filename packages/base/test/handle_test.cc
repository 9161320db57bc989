// Tests of typed handles and the table that allocates them.

#include "basilsill/base/handle.h"

#include <CppUTest/TestHarness.h>

namespace {

struct EntityTag;
using EntityHandle = basilsill::Handle<EntityTag>;
using EntityTable = basilsill::HandleTable<int, EntityTag>;

}  // namespace

TEST_GROUP(HandleTable) {
  EntityTable table{2};
};

TEST(HandleTable, Handle_DefaultConstructed_IsInvalid) {
  CHECK_FALSE(basilsill::IsValid(EntityHandle{}));
  CHECK(this->table.Find(EntityHandle{}) == nullptr);
}

TEST(HandleTable, Create_TableFull_ReturnsInvalid) {
  CHECK(basilsill::IsValid(this->table.Create(1)));
  CHECK(basilsill::IsValid(this->table.Create(2)));
  CHECK_FALSE(basilsill::IsValid(this->table.Create(3)));
  CHECK_EQUAL(2, this->table.size());
}

TEST(HandleTable, Find_SlotReused_StaleHandleFindsNothing) {
  const EntityHandle old = this->table.Create(1);
  CHECK(this->table.Destroy(old));
  const EntityHandle fresh = this->table.Create(2);
  CHECK_EQUAL(old.index, fresh.index);
  CHECK(this->table.Find(old) == nullptr);
  CHECK_FALSE(this->table.Destroy(old));
  CHECK_EQUAL(2, *this->table.Find(fresh));
}
