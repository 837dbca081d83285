#include "development/bench/bench_report.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace GeraniumLever {

namespace {

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** "median [smallest..largest]". */
std::string spread(const BenchSeries &series, const std::function<double(const BenchResult &)> &value, int decimals)
{
    std::vector<double> values;
    for (const BenchResult &result : series.results) {
        values.push_back(value(result));
    }
    std::sort(values.begin(), values.end());
    std::ostringstream text;
    text << std::fixed << std::setprecision(decimals) << values[values.size() / 2] << " [" << values.front() << ".."
         << values.back() << "]";
    return text.str();
}

void printClass(std::ostream &out, const BenchSeries &series, std::size_t index)
{
    const auto percent = [index](std::uint64_t ClassResult::*field) {
        return [index, field](const BenchResult &result) {
            const ClassResult &row = result.classes[index];
            return 100.0 * share(row.*field, row.offered);
        };
    };
    const auto time = [index](Duration ClassResult::*field) {
        return [index, field](const BenchResult &result) { return seconds(result.classes[index].*field); };
    };
    out << "  " << std::left << std::setw(8) << series.results.front().classes[index].name.text() << std::right
        << " in target % " << spread(series, percent(&ClassResult::inTarget), 2) << "  first token % "
        << spread(series, percent(&ClassResult::firstTokenMet), 2) << "  completed % "
        << spread(series, percent(&ClassResult::completed), 1) << "  refused % "
        << spread(series, percent(&ClassResult::refused), 1) << "  at deadline % "
        << spread(series, percent(&ClassResult::refusedAtDeadline), 1) << "  left % "
        << spread(series, percent(&ClassResult::left), 1) << "  paused % "
        << spread(series, percent(&ClassResult::pauses), 1) << "  longest wait s "
        << spread(series, time(&ClassResult::longestWait), 1) << "  longest unserved s "
        << spread(series, time(&ClassResult::longestUnserved), 1) << "\n";
}

} // namespace

void printTable(std::ostream &out, const BenchSeries &series)
{
    out << series.shape << ", fault " << series.fault << ", " << series.policy << ", " << series.results.size()
        << " seeds\n";
    for (std::size_t index = 0; index < series.results.front().classes.size(); ++index) {
        printClass(out, series, index);
    }
    out << "  goodput/s "
        << spread(
               series, [](const BenchResult &result) { return result.goodput(); }, 2)
        << "  wasted % "
        << spread(
               series, [](const BenchResult &result) { return 100.0 * result.wastedShare(); }, 2)
        << "  generated/s "
        << spread(
               series,
               [](const BenchResult &result) {
                   return static_cast<double>(result.generatedTokens) / seconds(result.length);
               },
               0)
        << "\n";
    for (const auto &[cause, tokens] : series.results.front().wasted) {
        out << "    first seed wasted by " << cause << ": " << std::fixed << std::setprecision(0) << tokens << "\n";
    }
    for (const BenchResult &result : series.results) {
        for (const std::string &violation : result.violations) {
            out << "  VIOLATION: " << violation << "\n";
        }
    }
}

void printCsvHead(std::ostream &out)
{
    out << "shape,fault,policy,run,class,offered,completed,first_token_met,in_target,refused,refused_at_deadline,left,"
           "pauses,longest_wait_s,longest_unserved_s,goodput,wasted_share,violations\n";
}

void printCsv(std::ostream &out, const BenchSeries &series)
{
    for (std::size_t run = 0; run < series.results.size(); ++run) {
        const BenchResult &result = series.results[run];
        for (const ClassResult &row : result.classes) {
            out << series.shape << ',' << series.fault << ',' << series.policy << ',' << run << ',' << row.name.text()
                << ',' << row.offered << ',' << row.completed << ',' << row.firstTokenMet << ',' << row.inTarget << ','
                << row.refused << ',' << row.refusedAtDeadline << ',' << row.left << ',' << row.pauses << ','
                << seconds(row.longestWait) << ',' << seconds(row.longestUnserved) << ',' << result.goodput() << ','
                << result.wastedShare() << ',' << result.violations.size() << '\n';
        }
    }
}

} // namespace GeraniumLever
