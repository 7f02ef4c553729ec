#include "base/Hash.h"
#include "base/Json.h"
#include "base/Log.h"
#include "base/NetAddress.h"
#include "base/TokenBucket.h"
#include "peer/Seal.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

struct AddressCase {
  const char *Text;
  bool Fits;
};
std::ostream &operator<<(std::ostream &To, const AddressCase &Of) {
  return To << Of.Text;
}

const AddressCase Addresses[] = {
    {"127.0.0.1:7000", true},   {"[::1]:7000", true},
    {"0.0.0.0:7000", false},    {"[::]:7000", false},
    {"localhost:7000", false},  {"127.0.0.1", false},
    {"127.0.0.1:", false},      {"127.0.0.1:0", false},
    {"127.0.0.1:65536", false}, {"127.0.0.1:7000x", false},
    {":7000", false},           {"", false},
    {"256.0.0.1:7000", false},  {"127.0.0.1:-1", false},
};

struct QuoteCase {
  const char *Value;
  const char *Line;
};
std::ostream &operator<<(std::ostream &To, const QuoteCase &Of) {
  return To << Of.Line;
}

const QuoteCase Quotes[] = {
    {"plain", "event=e k=plain"},
    {"", "event=e k=\"\""},
    {"two words", "event=e k=\"two words\""},
    {"a\nevent=forged", "event=e k=\"a?event=forged\""},
    {"say \"hi\"", "event=e k=\"say \\\"hi\\\"\""},
    {"back\\slash x", "event=e k=\"back\\\\slash x\""},
};

struct JsonCase {
  const char *Text;
  const char *Says;
};
std::ostream &operator<<(std::ostream &To, const JsonCase &Of) {
  return To << Of.Text;
}

const JsonCase BadJson[] = {
    {"", "f:"},
    {"{", "f:1:"},
    {"[1] trailing", "f:1:5"},
    {"{\"a\":1,\"a\":2}", "Duplicate key"},
    {"{\"a\":1e}", "f:1:"},
    {"\"text\"", "f:1:1"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(Base)

BOOST_DATA_TEST_CASE(Address, boost::unit_test::data::make(Addresses), Case) {
  BOOST_TEST(parseAddress(Case.Text).has_value() == Case.Fits);
}

BOOST_DATA_TEST_CASE(LogQuoting, boost::unit_test::data::make(Quotes), Case) {
  BOOST_TEST(LogLine("e").add("k", Case.Value).text() == Case.Line);
}

BOOST_DATA_TEST_CASE(BrokenJson, boost::unit_test::data::make(BadJson), Case) {
  FaultList Faults;
  BOOST_TEST(!parseJson(Case.Text, "f", Faults).has_value());
  BOOST_REQUIRE(!Faults.empty());
  BOOST_TEST(Faults.front().text().find(Case.Says) != std::string::npos,
             Faults.front().text());
}

BOOST_AUTO_TEST_CASE(DeepNestingIsAFault) {
  FaultList Faults;
  std::string Deep(100000, '[');
  BOOST_TEST(!parseJson(Deep, "f", Faults).has_value());
  BOOST_TEST(Faults.size() == 1u);
}

BOOST_AUTO_TEST_CASE(HexHashGoesThereAndBack) {
  for (uint64_t Hash :
       {uint64_t(0), uint64_t(1), uint64_t(-1), contentHash("x")})
    BOOST_TEST((parseHexHash(hexHash(Hash)) == Hash));
  BOOST_TEST(!parseHexHash("12").has_value());
  BOOST_TEST(!parseHexHash("zzzzzzzzzzzzzzzz").has_value());
}

BOOST_AUTO_TEST_CASE(BucketGivesBurstThenRate) {
  TokenBucket Bucket(/*Rate=*/10, /*Burst=*/5);
  TimePoint Now{};
  int Taken = 0;
  for (int Ms = 0; Ms < 1000; ++Ms)
    Taken += Bucket.take(Now + Millis(Ms));
  BOOST_TEST(Taken >= 14);
  BOOST_TEST(Taken <= 15);
  BOOST_TEST(Bucket.wait().count() <= 101);
}

// A frame with one byte wrong must not be read as another frame.
BOOST_AUTO_TEST_CASE(EveryDamagedByteIsFound) {
  std::string Sealed = sealFrame("twelve bytes");
  BOOST_TEST((*openSealed(Sealed, Safeguards()) == "twelve bytes"));
  for (size_t I = 0; I < Sealed.size(); ++I) {
    std::string Damaged = Sealed;
    Damaged[I] ^= 0x10;
    BOOST_TEST(!openSealed(Damaged, Safeguards()));
  }
  BOOST_TEST(!openSealed("short", Safeguards()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
