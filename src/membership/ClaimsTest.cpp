#include "membership/Claims.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace hickorylift {

namespace {

Claim claimOf(const std::string &Upstream, const std::string &Service,
              uint64_t Created) {
  Claim Made;
  Made.Details = {"x", "north", Service, "127.0.0.1:7", "127.0.0.1:9"};
  Made.Details.Upstream = Upstream;
  Made.CreatedRevision = Created;
  return Made;
}

bool holds(const std::vector<Claim> &Claims, const std::string &Upstream) {
  return std::any_of(Claims.begin(), Claims.end(), [&](const Claim &One) {
    return One.Details.Upstream == Upstream;
  });
}

bool isNamed(const std::string &Service) { return Service == "a"; }

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimsOnOneAddress)

BOOST_AUTO_TEST_CASE(NamedServicesComeFirstThenTheNewest) {
  std::vector<Claim> Claims = {claimOf("old", "a", 1), claimOf("agent", "b", 9),
                               claimOf("new", "a", 5)};
  orderClaims(Claims, isNamed);
  BOOST_REQUIRE(Claims.size() == 3u);
  BOOST_TEST(Claims[0].Details.Upstream == "new");
  BOOST_TEST(Claims[1].Details.Upstream == "old");
  BOOST_TEST(Claims[2].Details.Upstream == "agent");
}

// Guards against an upstream that is crowded out of the list by the number of
// other entries at its address, be they older or newer.
BOOST_AUTO_TEST_CASE(GreatNumbersDisplaceNeitherOldestNorNewest) {
  for (const char *Service : {"a", "b"}) {
    std::vector<Claim> Claims = {claimOf("first", "a", 1)};
    for (uint64_t I = 0; I < 1000; ++I)
      Claims.push_back(claimOf("agent" + std::to_string(I), Service, 100 + I));
    Claims.push_back(claimOf("last", "a", 5000));
    orderClaims(Claims, isNamed);
    BOOST_TEST(Claims.size() <= MaxClaims);
    BOOST_TEST(holds(Claims, "first"));
    BOOST_TEST(holds(Claims, "last"));
  }
}

// Guards against lists that grow, or that earlier builds can't read.
BOOST_AUTO_TEST_CASE(SingleClaimsAreWrittenAsInstances) {
  std::vector<Claim> Claims = {claimOf("up", "a", 7)};
  BOOST_TEST(writeClaims(Claims) == writeInstance(Claims[0].Details));
  Claims.push_back(claimOf("agent", "b", 3));
  FaultList Faults;
  std::optional<Instance> First =
      readInstance(writeClaims(Claims), "x", Faults);
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST((*First == Claims[0].Details));
}

BOOST_AUTO_TEST_CASE(ClaimsAreReadAsWritten) {
  std::vector<Claim> Claims = {claimOf("up", "a", 7), claimOf("agent", "b", 3)};
  FaultList Faults;
  std::vector<Claim> Read = readClaims(writeClaims(Claims), "x", Faults);
  BOOST_TEST(Faults.empty());
  BOOST_REQUIRE(Read.size() == 2u);
  for (size_t I = 0; I < Read.size(); ++I) {
    BOOST_TEST((Read[I].Details == Claims[I].Details));
    BOOST_TEST(Read[I].CreatedRevision == Claims[I].CreatedRevision);
  }
}

BOOST_AUTO_TEST_CASE(OtherClaimsThatCannotBeReadAreLeftOut) {
  FaultList Faults;
  std::string Text = writeInstance(claimOf("up", "a", 7).Details);
  Text.insert(1, R"("others":[3,{},{"name":"x"}],)");
  BOOST_TEST(readClaims(Text, "x", Faults).size() == 1u);
  BOOST_TEST(readClaims("{}", "x", Faults).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
