#ifndef HICKORYLIFT_MEMBERSHIP_EVACUATIONS_H
#define HICKORYLIFT_MEMBERSHIP_EVACUATIONS_H

#include "base/Error.h"
#include "config/Document.h"

#include <set>
#include <string>

// The data centres that operators have evacuated: their upstreams are sent
// nothing until that is taken back. All of them are one document with a topic
// of its own, which travels and is repaired as the lists are.
//
//   DocumentPtr Doc = makeEvacuationDocument(Revision, {"north"});
//   std::set<std::string> Now = evacuatedDataCentres(*Doc);

namespace hickorylift {

/// The topic, and the key at a platform that holds records.
extern const char EvacuationTopic[];

DocumentPtr makeEvacuationDocument(uint64_t Revision,
                                   const std::set<std::string> &DataCentres);
std::set<std::string> evacuatedDataCentres(const Document &Of);
/// The platform's value, {"data_centres": ["north"]}, as a document. Any fault
/// refuses the whole.
Result<DocumentPtr> readEvacuations(const std::string &Text, uint64_t Revision);

} // namespace hickorylift

#endif
