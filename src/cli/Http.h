#ifndef HICKORYLIFT_CLI_HTTP_H
#define HICKORYLIFT_CLI_HTTP_H

#include "base/Error.h"

#include <json/value.h>

namespace hickorylift {

/// One request to a node's operator interface, waiting for the answer.
Result<std::string> fetch(const std::string &Method, const std::string &Address,
                          const std::string &Path, unsigned TimeoutSeconds);
Result<Json::Value> fetchJson(const std::string &Address,
                              const std::string &Path, unsigned TimeoutSeconds);

} // namespace hickorylift

#endif
