#ifndef HICKORYLIFT_STANDIN_FLAGS_H
#define HICKORYLIFT_STANDIN_FLAGS_H

#include <absl/flags/declare.h>

#include <string>

ABSL_DECLARE_FLAG(std::string, listen);
ABSL_DECLARE_FLAG(std::string, admin);
ABSL_DECLARE_FLAG(std::string, to);
ABSL_DECLARE_FLAG(std::string, platform);
ABSL_DECLARE_FLAG(std::string, records);
ABSL_DECLARE_FLAG(std::string, file);
ABSL_DECLARE_FLAG(std::string, data_centre);
ABSL_DECLARE_FLAG(std::string, target);
ABSL_DECLARE_FLAG(std::string, method);
ABSL_DECLARE_FLAG(std::string, path);
ABSL_DECLARE_FLAG(uint64_t, version);
ABSL_DECLARE_FLAG(uint32_t, slots);
ABSL_DECLARE_FLAG(uint32_t, cold_ms);
ABSL_DECLARE_FLAG(uint32_t, cold_most);
ABSL_DECLARE_FLAG(uint32_t, lag_ms);
ABSL_DECLARE_FLAG(uint32_t, connections);
ABSL_DECLARE_FLAG(uint32_t, body_bytes);
ABSL_DECLARE_FLAG(uint32_t, budget_ms);
ABSL_DECLARE_FLAG(uint32_t, delay_ms);
ABSL_DECLARE_FLAG(double, rate);
ABSL_DECLARE_FLAG(double, seconds);
ABSL_DECLARE_FLAG(bool, keyed);
ABSL_DECLARE_FLAG(bool, distinct_paths);

#endif
