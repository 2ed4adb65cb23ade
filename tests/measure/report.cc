#include "measure/report.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace gooseberrygap::measure {

namespace {

struct Column {
  const char* const title_;
  const double Figures::*const member_;
  const int decimals_;
};

constexpr Column kColumns[] = {
    {"p50 ms", &Figures::p50_ms_, 1},
    {"p99 ms", &Figures::p99_ms_, 1},
    {"p99.9 ms", &Figures::p999_ms_, 1},
    {"good calls/s", &Figures::goodput_, 0},
    {"good %", &Figures::good_percent_, 2},
    {"executions per call", &Figures::executions_, 3},
    {"bytes across regions per call", &Figures::cross_region_bytes_, 0},
    {"load bytes per call", &Figures::load_bytes_, 1},
    {"load messages per call", &Figures::load_messages_, 3},
    {"load % of peer bytes", &Figures::load_percent_, 2},
    {"daemon CPU us per call", &Figures::cpu_us_, 0},
    {"sent late %", &Figures::late_percent_, 1},
};

struct Mark {
  const char* const title_;
  const double Figures::*const member_;
  const char* const colour_;
};

constexpr Mark kMarks[] = {
    {"p50", &Figures::p50_ms_, "#4c9a6a"},
    {"p99", &Figures::p99_ms_, "#c2571a"},
    {"p99.9", &Figures::p999_ms_, "#5b4b8a"},
};

// Geometry of the plot, in pixels.
constexpr int kLabelWidth = 180;
constexpr int kPlotWidth = 620;
constexpr int kRowHeight = 18;
constexpr int kHeadHeight = 48;
constexpr int kMarkOffset = 4;

struct Spread {
  const double lowest_ = 0;
  const double median_ = 0;
  const double highest_ = 0;
};

Spread SpreadOf(const std::vector<Figures>& rounds,
                const double Figures::*member) {
  std::vector<double> values;
  values.reserve(rounds.size());
  for (const Figures& figures : rounds) {
    values.push_back(figures.*member);
  }
  std::sort(values.begin(), values.end());
  const size_t middle = values.size() / 2;
  const double median = values.size() % 2 == 1
                            ? values[middle]
                            : (values[middle - 1] + values[middle]) / 2;
  return {
      .lowest_ = values.front(), .median_ = median, .highest_ = values.back()};
}

// Precondition: the values are sorted.
double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  const size_t index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

// A logarithmic axis over whole decades.
class Axis {
 public:
  explicit Axis(const Results& results) {
    double lowest = 1e9;
    double highest = 1;
    for (const Results::Row& row : results.rows()) {
      lowest =
          std::min(lowest, SpreadOf(row.rounds_, kMarks[0].member_).lowest_);
      highest =
          std::max(highest, SpreadOf(row.rounds_, kMarks[2].member_).highest_);
    }
    first_ = static_cast<int>(std::floor(std::log10(std::max(lowest, 0.1))));
    last_ =
        std::max(first_ + 1, static_cast<int>(std::ceil(std::log10(highest))));
  }

  int first() const { return first_; }
  int last() const { return last_; }
  double X(double ms) const {
    const double decades = std::log10(std::max(ms, 0.1)) - first_;
    return kLabelWidth + kPlotWidth * decades / (last_ - first_);
  }

 private:
  int first_ = 0;
  int last_ = 1;
};

std::string Text(double x,
                 double y,
                 const char* style,
                 const std::string& text) {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" %s>%s</text>\n", x, y,
                         style, text);
}

std::string Line(double x1,
                 double x2,
                 double y1,
                 double y2,
                 const char* colour) {
  return absl::StrFormat(
      "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" "
      "stroke=\"%s\"/>\n",
      x1, x2, y1, y2, colour);
}

std::string PlotHead(const Axis& axis, int height) {
  std::string out =
      Text(4, 16, "font-weight=\"bold\"",
           "Latency in ms from the intended send time, median and range");
  double x = kLabelWidth + 260;
  for (const Mark& mark : kMarks) {
    absl::StrAppend(
        &out, Text(x, 16, absl::StrCat("fill=\"", mark.colour_, "\"").c_str(),
                   mark.title_));
    x += 50;
  }
  for (int decade = axis.first(); decade <= axis.last(); ++decade) {
    const double ms = std::pow(10, decade);
    absl::StrAppend(
        &out, Line(axis.X(ms), axis.X(ms), kHeadHeight - 8, height, "#dddddd"),
        Text(axis.X(ms), kHeadHeight - 12, "text-anchor=\"middle\"",
             absl::StrCat(ms)));
  }
  return out;
}

std::string PlotRow(const Axis& axis, const Results::Row& row, double y) {
  std::string out = Text(16, y + 4, "", row.strategy_);
  int number = 0;
  for (const Mark& mark : kMarks) {
    const Spread spread = SpreadOf(row.rounds_, mark.member_);
    const double mark_y = y + kMarkOffset * (number++ - 1);
    absl::StrAppend(
        &out,
        Line(axis.X(spread.lowest_), axis.X(spread.highest_), mark_y, mark_y,
             mark.colour_),
        absl::StrFormat(
            "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"2.5\" fill=\"%s\"/>\n",
            axis.X(spread.median_), mark_y, mark.colour_));
  }
  return out;
}

}  // namespace

Figures MakeFigures(const std::vector<Sample>& samples,
                    double seconds,
                    size_t calls,
                    const Cost& cost) {
  std::vector<double> good;
  double late = 0;
  for (const Sample& sample : samples) {
    late += sample.late_ ? 1 : 0;
    if (sample.good_) {
      good.push_back(sample.latency_.value());
    }
  }
  std::sort(good.begin(), good.end());
  const double count = static_cast<double>(samples.size());
  const double sent = static_cast<double>(calls);
  const double good_count = static_cast<double>(good.size());
  return {.p50_ms_ = Quantile(good, 0.5),
          .p99_ms_ = Quantile(good, 0.99),
          .p999_ms_ = Quantile(good, 0.999),
          .goodput_ = Ratio(good_count, seconds),
          .good_percent_ = 100 * Ratio(good_count, count),
          .executions_ = Ratio(cost.executions_, sent),
          .cross_region_bytes_ = Ratio(cost.cross_region_bytes_, sent),
          .load_bytes_ = Ratio(cost.load_bytes_, sent),
          .load_messages_ = Ratio(cost.load_messages_, sent),
          .load_percent_ = 100 * Ratio(cost.load_bytes_, cost.peer_bytes_),
          .cpu_us_ = 1000 * Ratio(cost.cpu_ms_, sent),
          .late_percent_ = 100 * Ratio(late, count)};
}

void Results::Add(const std::string& scenario,
                  const std::string& strategy,
                  const Figures& figures) {
  for (Row& row : rows_) {
    if (row.scenario_ == scenario && row.strategy_ == strategy) {
      row.rounds_.push_back(figures);
      return;
    }
  }
  // Keeps the strategies of a scenario together.
  auto place = rows_.end();
  for (auto row = rows_.begin(); row != rows_.end(); ++row) {
    if (row->scenario_ == scenario) {
      place = row + 1;
    }
  }
  rows_.insert(
      place,
      Row{.scenario_ = scenario, .strategy_ = strategy, .rounds_ = {figures}});
}

std::string PrintTable(const Results& results) {
  std::string head = "| scenario | strategy |";
  std::string rule = "| --- | --- |";
  for (const Column& column : kColumns) {
    absl::StrAppend(&head, " ", column.title_, " |");
    absl::StrAppend(&rule, " --- |");
  }
  std::string out = absl::StrCat(head, "\n", rule, "\n");
  for (const Results::Row& row : results.rows()) {
    absl::StrAppend(&out, "| ", row.scenario_, " | ", row.strategy_, " |");
    for (const Column& column : kColumns) {
      const Spread spread = SpreadOf(row.rounds_, column.member_);
      absl::StrAppendFormat(&out, " %.*f (%.*f to %.*f) |", column.decimals_,
                            spread.median_, column.decimals_, spread.lowest_,
                            column.decimals_, spread.highest_);
    }
    absl::StrAppend(&out, "\n");
  }
  return out;
}

std::string PrintPlot(const Results& results) {
  const Axis axis(results);
  std::string body;
  std::string scenario;
  double y = kHeadHeight;
  for (const Results::Row& row : results.rows()) {
    if (row.scenario_ != scenario) {
      scenario = row.scenario_;
      y += kRowHeight;
      absl::StrAppend(&body, Text(4, y, "font-weight=\"bold\"", scenario));
    }
    y += kRowHeight;
    absl::StrAppend(&body, PlotRow(axis, row, y));
  }
  const int height = static_cast<int>(y) + kRowHeight;
  return absl::StrCat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"",
                      kLabelWidth + kPlotWidth + 30, "\" height=\"", height,
                      "\" font-family=\"sans-serif\" font-size=\"11\">\n",
                      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
                      PlotHead(axis, height), body, "</svg>\n");
}

}  // namespace gooseberrygap::measure
