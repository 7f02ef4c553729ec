#ifndef HICKORYLIFT_OPERATOR_METRICS_H
#define HICKORYLIFT_OPERATOR_METRICS_H

#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace hickorylift {

class Node;

/// The node's counters in the Prometheus text format. They are kept by the
/// deciding slices; the registry is brought up to date when it is read.
class Metrics {
public:
  Metrics();

  std::string text(Node &Of);

private:
  void set(const std::string &Name, const std::string &Help, double Value,
           const std::map<std::string, std::string> &Labels = {});

  std::shared_ptr<prometheus::Registry> Registry;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Families;
};

} // namespace hickorylift

#endif
