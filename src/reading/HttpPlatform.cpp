#include "reading/HttpPlatform.h"

#include "base/Json.h"

#include <cstdlib>

// Sends each call as one HTTP GET request. The revision of a value, or of the
// platform, comes in a response header.

namespace hickorylift {

namespace {

// How long after the end of a watch's wait the platform may still answer before
// the request times out.
constexpr Millis WatchSlack{2000};
const char RevisionHeader[] = "x-revision";

Result<std::pair<uint64_t, std::string>>
parseReply(const Result<HttpReply> &Got, const std::string &Step,
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
  auto Header = Got->Headers.find(RevisionHeader);
  uint64_t Revision = Header == Got->Headers.end()
                          ? 0
                          : std::strtoull(Header->second.c_str(), nullptr, 10);
  return std::make_pair(Revision, Got->Body);
}

} // namespace

HttpPlatform::HttpPlatform(const Options &Opts, std::function<TimePoint()> Now)
    : Opts(Opts), Http({Opts.Address, Opts.MaxValueBytes}, std::move(Now)) {}

void HttpPlatform::send(const std::string &Path, const std::string &Step,
                        Millis Timeout, const ReplyCallback &Done) {
  this->Http.fetch(Path, Step, Timeout,
                   [Done, Step, Peer = this->Opts.Address](
                       const Result<HttpReply> &Got, TimePoint At) {
                     Done(parseReply(Got, Step, Peer), At);
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
                            "malformed watch response"},
                      At);
        PlatformChanges Changes;
        Changes.Revision = Got->first;
        for (const std::string &Key : (*Root)["keys"].getMemberNames())
          if ((*Root)["keys"][Key].isUInt64())
            Changes.Changed.push_back({Key, (*Root)["keys"][Key].asUInt64()});
        Done(Changes, At);
      });
}

} // namespace hickorylift
