#include "membership/Claims.h"

#include "membership/InstanceText.h"

#include <algorithm>
#include <array>

// What another writer can set in the platform, it can also set to win: a time
// of creation, a service, a state. So the order of a list is only where the
// search begins. A call names the upstream that it is meant for, and the gate
// and the upstream there turn it away, not run, if they are another one. Such a
// refusal refutes the claim for as long as it is listed, and an answer confirms
// it. Neither can be brought about through the platform.

namespace hickorylift {

namespace {

const char OthersField[] = "others";
const char CreatedField[] = "created";

Json::Value claimFields(const Claim &Of) {
  Json::Value Fields = instanceFields(Of.Details);
  if (Of.CreatedRevision)
    Fields[CreatedField] = Json::UInt64(Of.CreatedRevision);
  return Fields;
}

std::optional<Claim> readClaim(JsonObject &Top, FaultList &Faults) {
  size_t Before = Faults.size();
  Claim Read;
  Read.Details = readInstanceFields(Top);
  Read.CreatedRevision =
      static_cast<uint64_t>(Top.integer(CreatedField, 0, 0, INT64_MAX));
  if (Faults.size() != Before)
    return std::nullopt;
  return Read;
}

// Keeps half of the places for the oldest, which was there before any entry
// that came in great numbers, and half for the newest.
void dropMiddle(std::vector<Claim> &Claims) {
  if (Claims.size() <= MaxClaims)
    return;
  auto Half = static_cast<std::ptrdiff_t>(MaxClaims / 2);
  Claims.erase(Claims.begin() + Half, Claims.end() - Half);
}

} // namespace

void orderClaims(std::vector<Claim> &Claims, const NamedServices &IsNamed) {
  std::stable_sort(Claims.begin(), Claims.end(),
                   [&](const Claim &A, const Claim &B) {
                     bool NamedA = IsNamed(A.Details.Service);
                     bool NamedB = IsNamed(B.Details.Service);
                     if (NamedA != NamedB)
                       return NamedA;
                     return A.CreatedRevision > B.CreatedRevision;
                   });
  auto FirstUnnamed =
      std::find_if(Claims.begin(), Claims.end(), [&](const Claim &One) {
        return !IsNamed(One.Details.Service);
      });
  std::vector<Claim> Unnamed(std::make_move_iterator(FirstUnnamed),
                             std::make_move_iterator(Claims.end()));
  Claims.erase(FirstUnnamed, Claims.end());
  dropMiddle(Claims);
  dropMiddle(Unnamed);
  size_t Room = MaxClaims - Claims.size();
  Unnamed.resize(std::min(Unnamed.size(), Room));
  Claims.insert(Claims.end(), Unnamed.begin(), Unnamed.end());
}

std::string writeClaims(const std::vector<Claim> &Claims) {
  if (Claims.size() == 1)
    return writeInstance(Claims.front().Details);
  Json::Value Fields = claimFields(Claims.front());
  for (auto One = Claims.begin() + 1; One != Claims.end(); ++One)
    Fields[OthersField].append(claimFields(*One));
  return writeJson(Fields);
}

std::vector<Claim> readClaims(const std::string &Text, const std::string &File,
                              FaultList &Faults) {
  std::vector<Claim> Claims;
  std::optional<Json::Value> Root = parseJson(Text, File, Faults);
  if (!Root || !Root->isObject())
    return Claims;
  JsonObject Top({File, Text, &Faults}, *Root, "");
  std::optional<Claim> First = readClaim(Top, Faults);
  if (!First)
    return Claims;
  Claims.push_back(std::move(*First));
  const Json::Value &Others = (*Root)[OthersField];
  if (!Others.isArray())
    return Claims;
  FaultList Ignored;
  for (const Json::Value &Fields : Others) {
    if (!Fields.isObject() || Claims.size() == MaxClaims)
      continue;
    JsonObject Other({File, Text, &Ignored}, Fields, "/others");
    std::optional<Claim> One = readClaim(Other, Ignored);
    if (One && One->Details.Name == Claims.front().Details.Name)
      Claims.push_back(std::move(*One));
  }
  return Claims;
}

size_t chooseClaim(const std::vector<const Instance *> &Claims,
                   const ClaimEvidence &Evidence) {
  using Merits = std::array<bool, 5>;
  auto MeritsOf = [&](const Instance &One) -> Merits {
    bool IsOwn =
        !Evidence.OwnService.empty() && One.Service == Evidence.OwnService;
    return {IsOwn, Evidence.IsNamed(One.Service), !Evidence.IsRefuted(One),
            Evidence.IsConfirmed(One), !One.Leaving};
  };
  auto Best = std::max_element(Claims.begin(), Claims.end(),
                               [&](const Instance *A, const Instance *B) {
                                 return MeritsOf(*A) < MeritsOf(*B);
                               });
  return static_cast<size_t>(Best - Claims.begin());
}

} // namespace hickorylift
