#ifndef BASILSILL_WIRE_SRC_SCHEMA_VALUES_H_
#define BASILSILL_WIRE_SRC_SCHEMA_VALUES_H_

#include "basilsill/wire/message.h"
#include "peer.capnp.h"

/// Checks that the enums of the schema and those of the messages have the same
/// values, since the encoder and the decoder convert between them by value.

namespace basilsill::wire {

template <typename Left, typename Right>
constexpr bool SameValue(Left left, Right right) {
  return static_cast<int>(left) == static_cast<int>(right);
}

static_assert(SameValue(LinkRole::kControl, schema::LinkRole::CONTROL));
static_assert(SameValue(LinkRole::kData, schema::LinkRole::DATA));
static_assert(SameValue(TrafficClass::kUrgent, schema::TrafficClass::URGENT));
static_assert(SameValue(TrafficClass::kOrdinary,
                        schema::TrafficClass::ORDINARY));
static_assert(SameValue(TrafficClass::kBulk, schema::TrafficClass::BULK));
static_assert(SameValue(TrafficClass::kBackground,
                        schema::TrafficClass::BACKGROUND));
static_assert(SameValue(BodyKind::kNone, schema::BodyKind::NONE));
static_assert(SameValue(BodyKind::kKnown, schema::BodyKind::KNOWN));
static_assert(SameValue(BodyKind::kStream, schema::BodyKind::STREAM));
static_assert(SameValue(VmState::kLive, schema::VmState::LIVE));
static_assert(SameValue(VmState::kSuspected, schema::VmState::SUSPECTED));
static_assert(SameValue(VmState::kLeaving, schema::VmState::LEAVING));

}  // namespace basilsill::wire

#endif  // BASILSILL_WIRE_SRC_SCHEMA_VALUES_H_
