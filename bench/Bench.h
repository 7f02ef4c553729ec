#ifndef HICKORYLIFT_BENCH_BENCH_H
#define HICKORYLIFT_BENCH_BENCH_H

#include "base/Time.h"

#include <json/value.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

// The bench measures; it judges nothing. Each command prints what it found and
// writes the raw figures as JSON where --out names a file.
//
//   bench convergence --nodes=13,50 --changes=100 --profile=aspenfold
//   bench latency --rates=50,500
//   bench policies
//   bench budget
//   bench slopes
//   bench capacity --results=bench/results --page=docs/CAPACITY.md

namespace hickorylift::bench {

int runConvergence();
int runLatency();
int runPolicies();
int runSlopes();
int runBudget();
int runCapacity();

/// The value below which Share of the values lie. Sorts them.
double percentile(std::vector<double> &Values, double Share);

/// A line through points, by least squares.
struct Fit {
  double Base = 0;
  double Slope = 0;
  /// Root of the mean squared distance of the points from the line, as a
  /// share of their mean.
  double Error = 0;

  double at(double X) const { return this->Base + this->Slope * X; }
};

struct Point {
  double X = 0;
  double Y = 0;
};

Fit fitLine(const std::vector<Point> &Points);

/// Writes JSON with line breaks to the file of --out, if one is named.
void writeResults(const Json::Value &Results);
Json::Value readResults(const std::string &Path);

/// The parts, one after the other.
std::string join(std::initializer_list<std::string_view> Parts);

std::vector<unsigned> readNumbers(const std::string &List);

} // namespace hickorylift::bench

#endif
