#ifndef HICKORYLIFT_MEMBERSHIP_INSTANCETEXT_H
#define HICKORYLIFT_MEMBERSHIP_INSTANCETEXT_H

#include "base/Json.h"
#include "membership/Membership.h"

// The fields of an instance in the JSON of a list entry. Internal to the
// membership slice.

namespace hickorylift {

Json::Value instanceFields(const Instance &Source);
/// Reports what is wrong as faults of Top.
Instance readInstanceFields(JsonObject &Top);

} // namespace hickorylift

#endif
