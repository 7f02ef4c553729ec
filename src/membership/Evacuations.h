#ifndef HICKORYLIFT_MEMBERSHIP_EVACUATIONS_H
#define HICKORYLIFT_MEMBERSHIP_EVACUATIONS_H

#include "base/Error.h"
#include "config/Document.h"

#include <set>
#include <string>

// The set of data centres that operators have evacuated: the upstreams there
// receive no calls until the evacuation is withdrawn. The set is one document
// with a topic of its own, which is spread and repaired as the instance lists
// are.
//
//   DocumentPtr Doc = makeEvacuationDocument(Revision, {"north"});
//   std::set<std::string> Evacuated = evacuatedDataCentres(*Doc);

namespace hickorylift {

/// The topic of the document, and its key at a platform that holds records.
extern const char EvacuationTopic[];

DocumentPtr makeEvacuationDocument(uint64_t Revision,
                                   const std::set<std::string> &DataCentres);
std::set<std::string> evacuatedDataCentres(const Document &Evacuations);
/// Parses the platform's value, {"data_centres": ["north"]}, into a document.
/// Any fault rejects the whole value.
Result<DocumentPtr> readEvacuations(const std::string &Text, uint64_t Revision);

} // namespace hickorylift

#endif
