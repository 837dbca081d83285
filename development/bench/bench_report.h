/** Tables of bench figures over several seeds. */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "development/bench/bench_result.h"

namespace GeraniumLever {

/** Results of one policy on one shape and fault, one per seed. */
struct BenchSeries
{
    std::string shape;
    std::string fault;
    std::string policy;
    std::vector<BenchResult> results;
};

/** Prints median [smallest..largest] over the seeds. */
void printTable(std::ostream &out, const BenchSeries &series);

/** Prints the head line of the comma-separated form. */
void printCsvHead(std::ostream &out);

/** Prints one line per seed and class. */
void printCsv(std::ostream &out, const BenchSeries &series);

} // namespace GeraniumLever
