#ifndef HICKORYLIFT_BENCH_FLAGS_H
#define HICKORYLIFT_BENCH_FLAGS_H

#include <absl/flags/declare.h>

#include <string>

ABSL_DECLARE_FLAG(std::string, out);
ABSL_DECLARE_FLAG(std::string, nodes);
ABSL_DECLARE_FLAG(uint32_t, changes);
ABSL_DECLARE_FLAG(std::string, profile);
ABSL_DECLARE_FLAG(std::string, rates);
ABSL_DECLARE_FLAG(uint32_t, rounds);
ABSL_DECLARE_FLAG(std::string, results);
ABSL_DECLARE_FLAG(std::string, page);
ABSL_DECLARE_FLAG(uint32_t, idle_s);

#endif
