#ifndef HICKORYLIFT_SCENARIO_ROWS_H
#define HICKORYLIFT_SCENARIO_ROWS_H

#include <iostream>
#include <string>

// The rows of a program's table of cases, played by name or one after the
// other.
//
//   return playRows(Crowds, absl::GetFlag(FLAGS_crowd),
//                   absl::GetFlag(FLAGS_list), play);

namespace hickorylift {

/// Plays the row of this name, or all rows if Wanted is empty; only prints the
/// names if ListOnly is set. Play returns whether a row passed. Returns the
/// exit status of the program: 0 if all rows passed that were played, else 1,
/// also where there is no row of that name.
template <typename RowsT, typename PlayT>
int playRows(const RowsT &Rows, const std::string &Wanted, bool ListOnly,
             const PlayT &Play) {
  bool Passed = true;
  bool Known = Wanted.empty();
  for (const auto &Row : Rows) {
    if (ListOnly) {
      std::cout << Row.Name << "\n";
      continue;
    }
    if (!Wanted.empty() && Wanted != Row.Name)
      continue;
    Known = true;
    Passed = Play(Row) && Passed;
  }
  if (!Known)
    std::cerr << "no row " << Wanted << "\n";
  return Passed && Known ? 0 : 1;
}

} // namespace hickorylift

#endif
