#include "membership/Claims.h"
#include "membership/Membership.h"

#include <algorithm>

// The part of Membership that reads the lists and decides which claim on each
// address is used. It decides anew when a list changes, when a version names
// other services, and when a machine disowns a claim.

namespace hickorylift {

// Parsing JSON is most of the cost, and usually one instance in a list of
// hundreds has changed. Instances whose entry has the same hash as before are
// kept instead of parsed again, also where it can't be read.
void Membership::updateList(const std::string &DataCentre,
                            const Document &List) {
  std::map<std::string, ListedNode> &Old = this->Lists[DataCentre];
  std::map<std::string, ListedNode> New;
  bool Changed = List.entries().size() != Old.size();
  for (const auto &[Name, Entry] : List.entries()) {
    auto Known = Old.find(Name);
    if (Known != Old.end() && Known->second.Hash == Entry.Hash) {
      New.emplace(Name, std::move(Known->second));
      continue;
    }
    Changed = true;
    New.emplace(Name, this->readNode(Entry, Name));
  }
  Old = std::move(New);
  if (!Changed)
    return;
  this->NotAdopted.insert(DataCentre);
  this->forgetRefutations();
  this->chooseAgain();
  this->rebuild();
}

Membership::ListedNode Membership::readNode(const DocumentEntry &Entry,
                                            const std::string &Name) const {
  ListedNode Read;
  Read.Hash = Entry.Hash;
  FaultList Faults;
  for (Claim &One : readClaims(*Entry.Bytes, Name, Faults))
    Read.Claims.push_back(
        std::make_shared<const Instance>(std::move(One.Details)));
  return Read;
}

std::shared_ptr<const Instance> Membership::choose(const ListedNode &Of) const {
  if (Of.Claims.size() < 2)
    return Of.Claims.empty() ? nullptr : Of.Claims.front();
  std::vector<const Instance *> Claims;
  for (const auto &One : Of.Claims)
    Claims.push_back(One.get());
  const std::string &Name = Claims.front()->Name;
  ClaimEvidence Evidence;
  if (Name == this->Opts.Self)
    Evidence.OwnService = this->Opts.Service;
  Evidence.IsNamed = [this](const std::string &Service) {
    return this->isNamed(Service);
  };
  Evidence.IsRefuted = [this, &Name](const Instance &One) {
    auto Found = this->Refuted.find(Name);
    return Found != this->Refuted.end() &&
           Found->second.count({One.Upstream, One.Incarnation}) != 0;
  };
  Evidence.IsConfirmed = this->IsConfirmed;
  return Of.Claims[chooseClaim(Claims, Evidence)];
}

// Claims on one address may differ in the data centre as well. Such an address
// is on the lists of all of them, with the same claims, and counts on one.
bool Membership::chooseAgain() {
  bool Changed = false;
  for (auto &[DataCentre, List] : this->Lists)
    for (auto &[Name, Listed] : List) {
      std::shared_ptr<const Instance> Used = this->choose(Listed);
      if (Used && Listed.Claims.size() > 1 && Used->DataCentre != DataCentre)
        Used.reset();
      if (Used == Listed.Used)
        continue;
      Changed = true;
      this->NotAdopted.insert(DataCentre);
      Listed.Used = std::move(Used);
    }
  return Changed;
}

bool Membership::setServices(std::set<std::string> Names) {
  if (this->Services == Names)
    return false;
  this->Services = std::move(Names);
  bool Changed = this->chooseAgain();
  if (Changed)
    this->rebuild();
  return Changed;
}

bool Membership::refute(const std::string &Name, const UpstreamStart &Start) {
  const ListedNode *Listed = this->findListed(Name);
  bool IsClaim =
      Listed && std::any_of(Listed->Claims.begin(), Listed->Claims.end(),
                            [&](const auto &One) {
                              return UpstreamStart(One->Upstream,
                                                   One->Incarnation) == Start;
                            });
  if (!IsClaim || Listed->Claims.size() < 2)
    return false;
  std::set<UpstreamStart> &Disowned = this->Refuted[Name];
  Disowned.insert(Start);
  // One of them must be right, so the earlier refusals had another reason, or
  // the list lacks the right one.
  bool IsNoneLeft = Disowned.size() >= Listed->Claims.size();
  if (IsNoneLeft)
    Disowned = {Start};
  if (this->chooseAgain())
    this->rebuild();
  return !IsNoneLeft;
}

bool Membership::refute(const std::string &Name, const std::string &Upstream) {
  const Instance *Used = this->find(Name);
  return Used && Used->Upstream == Upstream &&
         this->refute(Name, UpstreamStart(Upstream, Used->Incarnation));
}

// The entry of the list in which the name counts; null if it counts in none.
const Membership::ListedNode *
Membership::findListed(const std::string &Name) const {
  const Instance *Used = this->find(Name);
  auto List = Used ? this->Lists.find(Used->DataCentre) : this->Lists.end();
  if (List == this->Lists.end())
    return nullptr;
  auto Listed = List->second.find(Name);
  return Listed == List->second.end() ? nullptr : &Listed->second;
}

void Membership::forgetRefutations() {
  std::map<std::string, std::set<UpstreamStart>> Still;
  for (const auto &[Name, Disowned] : this->Refuted)
    for (const auto &[DataCentre, List] : this->Lists) {
      auto Listed = List.find(Name);
      if (Listed == List.end() || Listed->second.Claims.size() < 2)
        continue;
      for (const auto &One : Listed->second.Claims)
        if (Disowned.count({One->Upstream, One->Incarnation}))
          Still[Name].insert({One->Upstream, One->Incarnation});
    }
  this->Refuted = std::move(Still);
}

std::map<std::string, std::string> Membership::contests() const {
  std::map<std::string, std::string> Found;
  for (const auto &[DataCentre, List] : this->Lists)
    for (const auto &[Name, Listed] : List) {
      if (Listed.Claims.size() < 2 || !Listed.Used)
        continue;
      std::string Text = "uses " + Listed.Used->Upstream + " of " +
                         Listed.Used->Service + ", not";
      for (const auto &One : Listed.Claims)
        if (One != Listed.Used)
          Text += " " + One->Upstream + " of " + One->Service;
      Found[Name] = Text;
    }
  return Found;
}

void Membership::rebuild() {
  ++this->Generation;
  this->ByName.clear();
  this->ByService.clear();
  for (const auto &[DataCentre, List] : this->Lists)
    for (const auto &[Name, Listed] : List)
      if (Listed.Used)
        this->ByName[Name] = Listed.Used.get();
  for (const auto &[Name, Member] : this->ByName)
    this->ByService[Member->Service].push_back(Member);
  this->rebuildRoutable();
}

} // namespace hickorylift
