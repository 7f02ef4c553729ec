#include "reading/HttpPlatform.h"

#include "base/Json.h"

#include <cstdlib>

namespace hickorylift {

namespace {

// Added to the wait of a watch before we call the platform silent.
constexpr Millis WatchSlack{2000};
const char RevisionHeader[] = "x-revision";

Result<std::pair<uint64_t, std::string>> judge(const Result<HttpReply> &Got,
                                               const std::string &Step,
                                               const std::string &Peer) {
  if (!Got)
    return Got.error();
  if (Got->Status == 429)
    return Error{Errc::Busy, Step, Peer, "read rate exceeded"};
  if (Got->Status == 404)
    return Error{Errc::NotFound, Step, Peer, "no such key"};
  if (Got->Status != 200)
    return Error{Errc::Refused, Step, Peer,
                 "status " + std::to_string(Got->Status)};
  auto Revision = Got->Headers.find(RevisionHeader);
  uint64_t Number = Revision == Got->Headers.end()
                        ? 0
                        : std::strtoull(Revision->second.c_str(), nullptr, 10);
  return std::make_pair(Number, Got->Body);
}

} // namespace

HttpPlatform::HttpPlatform(const Options &Opts, std::function<TimePoint()> Now)
    : Opts(Opts), Http({Opts.Address, Opts.MaxValueBytes}, std::move(Now)) {}

void HttpPlatform::send(const std::string &Path, const std::string &Step,
                        Millis Limit, const ReplyCallback &Done) {
  this->Http.fetch(Path, Step, Limit,
                   [Done, Step, Peer = this->Opts.Address](
                       const Result<HttpReply> &Got, TimePoint At) {
                     Done(judge(Got, Step, Peer), At);
                   });
}

void HttpPlatform::get(const std::string &Key, TimePoint, ValueCallback Done) {
  this->send("/v1/values/" + Key, "platform-get", this->Opts.Timeout,
             [Done](const Result<std::pair<uint64_t, std::string>> &Got,
                    TimePoint At) {
               if (!Got)
                 return Done(Got.error(), At);
               Done(PlatformValue{Got->first, Got->second}, At);
             });
}

void HttpPlatform::watch(const std::vector<std::string> &Keys, uint64_t After,
                         Millis Wait, TimePoint, ChangesCallback Done) {
  std::string Path = "/v1/watch?after=" + std::to_string(After) +
                     "&wait_ms=" + std::to_string(Wait.count());
  for (const std::string &Key : Keys)
    Path += "&key=" + Key;
  std::string Peer = this->Opts.Address;
  this->send(
      Path, "platform-watch", Wait + WatchSlack,
      [Done, Peer](const Result<std::pair<uint64_t, std::string>> &Got,
                   TimePoint At) {
        if (!Got)
          return Done(Got.error(), At);
        FaultList Faults;
        auto Root = parseJson(Got->second, "watch", Faults);
        if (!Root || !Root->isObject() || !(*Root)["keys"].isObject())
          return Done(Error{Errc::BadMessage, "platform-watch", Peer,
                            "not a watch's answer"},
                      At);
        PlatformChanges Out;
        Out.Revision = Got->first;
        for (const std::string &Key : (*Root)["keys"].getMemberNames())
          if ((*Root)["keys"][Key].isUInt64())
            Out.Changed.push_back({Key, (*Root)["keys"][Key].asUInt64()});
        Done(Out, At);
      });
}

} // namespace hickorylift
