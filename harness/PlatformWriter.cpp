#include "harness/PlatformWriter.h"

#include "base/Hash.h"

#include <libsoup/soup.h>

namespace hickorylift::harness {

namespace {

SoupSession *session() {
  static SoupSession *Kept = SOUP_SESSION(
      g_object_new(SOUP_TYPE_SESSION, "proxy-resolver", nullptr, nullptr));
  return Kept;
}

} // namespace

bool putValue(const std::string &Platform, const std::string &Key,
              const std::string &Bytes) {
  std::string Url = "http://" + Platform + "/admin/put?key=" + Key;
  SoupMessage *Message = soup_message_new("POST", Url.c_str());
  GBytes *Body = g_bytes_new(Bytes.data(), Bytes.size());
  soup_message_set_request_body_from_bytes(Message, "application/json", Body);
  GBytes *Reply =
      soup_session_send_and_read(session(), Message, nullptr, nullptr);
  bool Taken = Reply && soup_message_get_status(Message) == 200;
  g_clear_pointer(&Reply, g_bytes_unref);
  g_bytes_unref(Body);
  g_object_unref(Message);
  return Taken;
}

bool publishVersion(const std::string &Platform, uint64_t Version,
                    const EntryMap &Records, RecordHashes &Last) {
  RecordHashes Contents;
  for (const auto &[Name, Held] : Records) {
    uint64_t Hash = contentHash(*Held.Bytes);
    Contents[Name] = Hash;
    auto Known = Last.find(Name);
    bool There = Known != Last.end() && Known->second == Hash;
    if (!There &&
        !putValue(Platform, "config/records/" + hexHash(Hash), *Held.Bytes))
      return false;
  }
  Manifest Out = makeManifest(Version, Last, Contents);
  Last = Contents;
  return putValue(Platform, "config/contents/" + hexHash(Out.ContentsHash),
                  writeContents(Contents)) &&
         putValue(Platform, "config/manifest", writeManifest(Out));
}

} // namespace hickorylift::harness
