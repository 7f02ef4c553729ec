#include "config/RecordFile.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <random>
#include <sstream>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

struct BadRecords {
  std::string Text;
  const char *Says;
};
std::ostream &operator<<(std::ostream &To, const BadRecords &Of) {
  return To << Of.Says << " in " << Of.Text;
}

const std::string ServiceA =
    "{\"kind\":\"service\",\"name\":\"a\",\"schema\":1}";
const std::string MatchA = "\"match\":{\"prefix\":\"/a\"}";

/// A service a, and a route with the given members besides its head.
std::string withRoute(const std::string &Members) {
  return "[" + ServiceA + ",{\"kind\":\"route\",\"name\":\"r\",\"schema\":1," +
         Members + "}]";
}

/// The same with a route of schema 3.
std::string withRoute3(const std::string &Members) {
  return "[" + ServiceA + ",{\"kind\":\"route\",\"name\":\"r\",\"schema\":3," +
         Members + "}]";
}

const BadRecords Bad[] = {
    {"", "f:"},
    {"{}", "expected a list of records"},
    {"[1]", "expected an object"},
    {"[{}]", "/0/kind: missing"},
    {"[{\"kind\":\"x\",\"name\":\"a\",\"schema\":1}]", "expected one of"},
    {"[{\"kind\":\"service\",\"name\":\"A B\",\"schema\":1}]",
     "expected a name"},
    {"[{\"kind\":\"service\",\"name\":\"\",\"schema\":1}]", "expected a name"},
    {"[{\"kind\":\"service\",\"name\":\"a\"}]", "/0/schema: missing"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":0}]",
     "from 1 to 1000000"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1.5}]",
     "expected a whole number"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":\"1\"}]",
     "expected a whole number"},
    {"[" + ServiceA + "," + ServiceA + "]", "second record named"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":9}]",
     "understands no schema version"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,\"slot\":1}]",
     "unknown key"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,\"drain_s\":1}]",
     "the unit is part of drain_ms"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,\"slots\":0}]",
     "from 1 to 100000"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,\"slots\":-4}]",
     "from 1 to 100000"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,\"slots\":\"4\"}]",
     "expected a whole number"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,\"slots\":10,"
     "\"connections\":5}]",
     "fewer connections than slots"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,"
     "\"key_window_ms\":10}]",
     "from 1000"},
    {"[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,"
     "\"queue_wait_ms\":1e3}]",
     "expected a whole number"},
    {"[{\"kind\":\"limit\",\"name\":\"l\",\"schema\":1,\"rate_per_s\":-1}]",
     "expected a number"},
    {"[{\"kind\":\"limit\",\"name\":\"l\",\"schema\":1,\"burst\":0}]",
     "expected a number"},
    {"[{\"kind\":\"limit\",\"name\":\"l\",\"schema\":1,\"by_class\":[]}]",
     "expected an object"},
    {"[{\"kind\":\"limit\",\"name\":\"l\",\"schema\":1,"
     "\"by_class\":{\"x\":{\"rate\":1}}}]",
     "/by_class/x/rate: unknown key"},
    {"[{\"kind\":\"retry\",\"name\":\"t\",\"schema\":1,\"attempts\":0}]",
     "from 1 to 10"},
    {"[{\"kind\":\"retry\",\"name\":\"t\",\"schema\":1,"
     "\"idempotent_methods\":[\"FETCH\"]}]",
     "unknown method FETCH"},
    {"[{\"kind\":\"retry\",\"name\":\"t\",\"schema\":1,"
     "\"idempotent_methods\":\"GET\"}]",
     "expected a list of strings"},
    {"[{\"kind\":\"retry\",\"name\":\"t\",\"schema\":1,"
     "\"idempotent_methods\":[1]}]",
     "/idempotent_methods/0: expected a string"},
    {"[{\"kind\":\"retry\",\"name\":\"t\",\"schema\":1,"
     "\"budget_percent\":101}]",
     "expected a number"},
    {withRoute("\"service\":\"a\""), "/match: missing"},
    {withRoute(MatchA), "/service: missing"},
    {withRoute(MatchA + ",\"service\":\"b\""), "no usable service named b"},
    {withRoute(MatchA + ",\"service\":\"a\",\"retry\":\"x\""),
     "no usable retry named x"},
    {withRoute(MatchA + ",\"service\":\"a\",\"limit\":\"x\""),
     "no usable limit named x"},
    {withRoute("\"match\":{},\"service\":\"a\""), "/match/prefix: missing"},
    {withRoute("\"match\":{\"prefix\":\"a\"},\"service\":\"a\""),
     "starts with '/'"},
    {withRoute("\"match\":{\"prefix\":\"/a?b\"},\"service\":\"a\""),
     "starts with '/'"},
    {withRoute("\"match\":{\"prefix\":\"/a\",\"methods\":[\"get\"]},"
               "\"service\":\"a\""),
     "unknown method get"},
    {withRoute(
         "\"match\":{\"prefix\":\"/a\",\"host\":\"x\"},\"service\":\"a\""),
     "/match/host: unknown key"},
    {withRoute(MatchA + ",\"service\":\"a\",\"timeout_ms\":0"), "from 1 to"},
    {withRoute(MatchA + ",\"service\":\"a\",\"priority\":10"), "from 0 to 9"},
    // Schema 2 does not know what schema 3 brought, and the other way round.
    {withRoute3(MatchA), "/service: missing"},
    {withRoute3(MatchA + ",\"service\":\"a\",\"split\":{\"a\":1}"),
     "/service: stands beside split"},
    {withRoute3(MatchA + ",\"split\":{}"), "weight above 0"},
    {withRoute3(MatchA + ",\"split\":{\"a\":0}"), "weight above 0"},
    {withRoute3(MatchA + ",\"split\":{\"A B\":1}"), "expected a name"},
    {withRoute3(MatchA + ",\"split\":{\"a\":-1}"), "from 0 to 1000000"},
    {withRoute3(MatchA + ",\"split\":{\"a\":1,\"b\":1}"),
     "no usable service named b"},
    {withRoute3(MatchA + ",\"split\":[\"a\"]"), "expected an object"},
    {withRoute3(MatchA + ",\"service\":\"a\",\"attempts\":11"), "from 0 to 10"},
    {withRoute3(MatchA + ",\"service\":\"a\",\"idempotent\":1"),
     "expected true or false"},
    {withRoute3(MatchA + ",\"service\":\"a\",\"target_ms\":-1"), "from 0 to"},
    {withRoute(MatchA + ",\"service\":\"a\",\"idempotent\":true"),
     "/idempotent: unknown key"},
    {"[{\"kind\":\"bounds\",\"name\":\"b\",\"schema\":1,"
     "\"header_bytes\":1}]",
     "from 256 to"},
    {"[{\"kind\":\"bounds\",\"name\":\"b\",\"schema\":1},"
     "{\"kind\":\"bounds\",\"name\":\"c\",\"schema\":1}]",
     "one record of this kind"},
    // Schema 1 does not know what schema 2 brought.
    {withRoute(MatchA + ",\"service\":\"a\",\"idempotency_key\":\"required\""),
     "/idempotency_key: unknown key"},
    {"[" + ServiceA + ",{\"kind\":\"route\",\"name\":\"r\",\"schema\":1," +
         MatchA +
         ",\"service\":\"a\"},{\"kind\":\"route\",\"name\":\"q\",\"schema\":"
         "1," +
         MatchA + ",\"service\":\"a\"}]",
     "takes the same requests as route q"},
};

CompileResult compileText(const std::string &Text,
                          const CompileOptions &Options) {
  FaultList Faults;
  std::optional<EntryMap> Entries = readRecordFile(Text, "f", Faults);
  BOOST_REQUIRE(Entries.has_value());
  return compileConfig(*Document::make(1, 1, *Entries), Options);
}

std::string readWhole(const std::string &Path) {
  std::ifstream In(std::string(SOURCE_ROOT) + "/" + Path);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

std::string randomPath(std::mt19937 &Random) {
  const char *Parts[] = {"/", "/a", "/b", "/ab", "/a/b", "//", "/b/"};
  std::string Out;
  for (unsigned I = 0; I < 1 + Random() % 4; ++I)
    Out += Parts[Random() % std::size(Parts)];
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_DATA_TEST_CASE(BadRecordsAreRefused, data::make(Bad), Case) {
  FaultList Faults = checkRecordFile(Case.Text, "f", CompileOptions());
  std::string All = faultTexts(Faults);
  BOOST_TEST(All.find(Case.Says) != std::string::npos, All);
}

BOOST_AUTO_TEST_CASE(AllFaultsComeAtOnce) {
  FaultList Faults = checkRecordFile(
      "[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1,\"slots\":0,"
      "\"queue\":-1,\"x\":1},"
      "{\"kind\":\"retry\",\"name\":\"t\",\"schema\":1,\"attempts\":0}]",
      "f", CompileOptions());
  BOOST_TEST(Faults.size() == 4u);
}

BOOST_DATA_TEST_CASE(ShippedRecordsAreGood,
                     data::make({"conf/aspenfold-records.jsonc",
                                 "conf/association-records.jsonc"}),
                     Path) {
  FaultList Faults = checkRecordFile(readWhole(Path), Path, CompileOptions());
  BOOST_TEST(Faults.empty(), faultTexts(Faults));
}

BOOST_AUTO_TEST_CASE(NewestUnderstoodSchemaIsTaken) {
  const std::string Text =
      "[" + ServiceA + ",{\"kind\":\"route\",\"name\":\"r\",\"schema\":1," +
      MatchA +
      ",\"service\":\"a\",\"timeout_ms\":1},"
      "{\"kind\":\"route\",\"name\":\"r\",\"schema\":2," +
      MatchA +
      ",\"service\":\"a\",\"timeout_ms\":2},"
      "{\"kind\":\"route\",\"name\":\"r\",\"schema\":7,\"new\":true}]";
  CompileOptions Old;
  Old.NewestSchema["route"] = 1;
  BOOST_TEST(compileText(Text, CompileOptions())
                 .Compiled->routes()
                 .at("r")
                 ->Timeout.count() == 2);
  BOOST_TEST(
      compileText(Text, Old).Compiled->routes().at("r")->Timeout.count() == 1);
}

// The fast look-up against the obviously right one.
BOOST_AUTO_TEST_CASE(FastLookupAgreesWithSlow) {
  const char *const Hosts[] = {"", "a.example", "B.example", "c.example:80"};
  std::mt19937 Random(11);
  for (int Round = 0; Round < 200; ++Round) {
    std::string Text = "[" + ServiceA;
    std::set<std::string> Used;
    for (int I = 0; I < 12; ++I) {
      std::string Prefix = randomPath(Random);
      std::string Host = Hosts[Random() % 3];
      if (!Used.insert(Host + Prefix).second)
        continue;
      Text.append(",{\"kind\":\"route\",\"name\":\"r")
          .append(std::to_string(I))
          .append("\",\"schema\":3,\"service\":\"a\",\"match\":{\"prefix\":\"")
          .append(Prefix)
          .append("\",\"host\":\"")
          .append(Host)
          .append(Random() % 2 ? "\",\"methods\":[\"GET\"]}}" : "\"}}");
    }
    CompileResult Made = compileText(Text + "]", CompileOptions());
    BOOST_REQUIRE(Made.Compiled);
    for (int I = 0; I < 100; ++I) {
      std::string Path = randomPath(Random) + (Random() % 2 ? "?q=/a" : "");
      std::string Method = Random() % 2 ? "GET" : "POST";
      std::string Host = hostName(Hosts[Random() % 4]);
      BOOST_TEST(Made.Compiled->findRoute(Method, Path, Host) ==
                     Made.Compiled->findRouteSlowly(Method, Path, Host),
                 Method << " " << Host << Path << " in " << Text);
    }
  }
}

// A compiler that remembers records gives the verdict that a fresh one gives,
// in whatever order good and bad versions come.
BOOST_AUTO_TEST_CASE(RememberingCompilerAgreesWithFresh) {
  std::mt19937 Random(21);
  Compiler Kept{CompileOptions()};
  int Good = 0;
  for (uint64_t Version = 1; Version <= 300; ++Version) {
    std::string Text = "[" + ServiceA;
    for (int I = 0; I < 6; ++I) {
      if (Random() % 3 == 0)
        continue;
      const char *Target = Random() % 12 == 0 ? "missing" : "a";
      Text += ",{\"kind\":\"route\",\"name\":\"r" + std::to_string(I) +
              "\",\"schema\":1,\"service\":\"" + Target +
              "\",\"timeout_ms\":" + std::to_string(Random() % 4) +
              ",\"match\":{\"prefix\":\"/" + std::to_string(Random() % 20) +
              "\"}}";
    }
    FaultList Faults;
    DocumentPtr Doc = Document::make(Version, Version,
                                     *readRecordFile(Text + "]", "f", Faults));
    CompileResult Fresh = compileConfig(*Doc, CompileOptions());
    CompileResult Again = Kept.compile(*Doc);
    BOOST_TEST((Fresh.Compiled == nullptr) == (Again.Compiled == nullptr));
    BOOST_TEST(faultTexts(Fresh.Faults) == faultTexts(Again.Faults));
    if (!Fresh.Compiled)
      continue;
    ++Good;
    BOOST_TEST(Fresh.Compiled->routes().size() ==
               Again.Compiled->routes().size());
    for (const auto &[Name, One] : Fresh.Compiled->routes()) {
      const auto &Other = Again.Compiled->routes().at(Name);
      BOOST_TEST(One->Prefix == Other->Prefix);
      BOOST_TEST(One->Timeout.count() == Other->Timeout.count());
    }
  }
  BOOST_TEST(Good > 20);
}

BOOST_AUTO_TEST_CASE(DeltaLeadsFromAnyToAny) {
  std::mt19937 Random(5);
  auto Make = [&](uint64_t Version) {
    EntryMap Entries;
    for (int I = 0; I < 10; ++I) {
      std::string Name = "e" + std::to_string(Random() % 15);
      Entries[Name] = makeEntry(Name, std::to_string(Random() % 3));
    }
    return Document::make(Version, Version, Entries);
  };
  for (int Round = 0; Round < 200; ++Round) {
    DocumentPtr Base = Make(1);
    DocumentPtr Target = Make(2);
    ChangeSet Delta = makeDelta(Base->entries(), Target->entries());
    Result<DocumentPtr> Made = applyDelta(Base, Target->stamp(), Delta);
    BOOST_REQUIRE(static_cast<bool>(Made));
    BOOST_TEST(((*Made)->stamp() == Target->stamp()));
    BOOST_TEST(makeDelta((*Made)->entries(), Target->entries()).empty());
  }
}

// A delta against another base, or with a piece missing or changed, would leave
// a mixture of two versions in force. The hash finds each; without the check
// all of them are taken.
BOOST_AUTO_TEST_CASE(WrongBaseAndChangedDeltaAreRefused) {
  EntryMap One{{"a", makeEntry("a", "1")}, {"b", makeEntry("b", "1")}};
  EntryMap Two{{"a", makeEntry("a", "2")},
               {"b", makeEntry("b", "1")},
               {"c", makeEntry("c", "1")}};
  EntryMap Other{{"a", makeEntry("a", "1")}, {"b", makeEntry("b", "9")}};
  DocumentPtr Base = Document::make(1, 1, One);
  DocumentPtr Target = Document::make(2, 2, Two);
  DocumentPtr Wrong = Document::make(1, 1, Other);
  ChangeSet Delta = makeDelta(One, Two);
  ChangeSet Short(Delta.begin(), Delta.end() - 1);
  ChangeSet Changed = Delta;
  Changed[0].Bytes = std::make_shared<const std::string>("3");
  Safeguards Off;
  Off.CheckContent = false;
  BOOST_TEST(static_cast<bool>(applyDelta(Base, Target->stamp(), Delta)));
  const std::pair<DocumentPtr, ChangeSet> Bad[] = {
      {Wrong, Delta}, {Base, Short}, {Base, Changed}, {nullptr, Delta}};
  for (const auto &[From, Changes] : Bad) {
    BOOST_TEST(!applyDelta(From, Target->stamp(), Changes));
    BOOST_TEST(
        static_cast<bool>(applyDelta(From, Target->stamp(), Changes, Off)));
  }
}

BOOST_AUTO_TEST_CASE(StampsOrderByVersionThenRevision) {
  BOOST_TEST((Stamp{1, 9, 9} < Stamp{2, 1, 1}));
  BOOST_TEST((Stamp{2, 1, 9} < Stamp{2, 2, 1}));
  BOOST_TEST((Stamp{2, 2, 1} < Stamp{2, 2, 2}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
