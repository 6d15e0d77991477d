#include <bench/experiments.hpp>
#include <bench/report/result.hpp>
#include <bench/report/svg.hpp>

#include <algorithm>
#include <cstdio>
#include <set>

namespace medlarmoor::bench {

namespace {

using Results = std::vector<Result>;
using Earlier = std::map<std::string, Result>;

constexpr const char *Head =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>medlarmoor: experiments</title>\n<style>\n"
    "body{font-family:sans-serif;max-width:900px;margin:2em auto;color:#222}\n"
    "table{border-collapse:collapse;font-size:13px}\n"
    "td,th{padding:3px 10px;border-bottom:1px solid #ddd;text-align:left}\n"
    "td.n{text-align:right}.bad{color:#c0392b;font-weight:bold}\n"
    ".good{color:#2e8b57}h3{font-size:15px;margin-bottom:4px}\n"
    "</style></head><body>\n<h1>medlarmoor: experiments</h1>\n"
    "<p>Dark bars are this run, light bars and values in brackets an earlier "
    "one. A mark across a row is the bound; a bar beyond it is red.</p>\n";

std::string cell(const std::string &Text, const char *Class = "") {
  return std::string("<td class=\"") + Class + "\">" + escaped(Text) + "</td>";
}

std::string heldCell(const std::optional<bool> &Held) {
  if (!Held)
    return cell("baseline");
  return *Held ? cell("held", "good") : cell("broken", "bad");
}

const Result *find(const Earlier &Before, const Result &Each) {
  const auto At = Before.find(Each.key());
  return At == Before.end() ? nullptr : &At->second;
}

/// One line a record; what broke comes first.
std::string summary(Results Now, const Earlier &Before) {
  std::stable_sort(Now.begin(), Now.end(), [](const auto &A, const auto &B) {
    return A.Held_.value_or(true) < B.Held_.value_or(true);
  });
  std::string Out = "<h2>Bounds</h2>\n<table><tr><th>experiment</th>"
                    "<th>case</th><th>policy</th><th>seed</th>"
                    "<th>this run</th><th>earlier</th></tr>\n";
  for (const Result &Each : Now) {
    const Result *Old = find(Before, Each);
    Out += "<tr>" + cell(Each.Experiment_) + cell(Each.Case_) +
           cell(Each.Policy_) + cell(Each.Seed_) + heldCell(Each.Held_) +
           (Old ? heldCell(Old->Held_) : cell("not run")) + "</tr>\n";
  }
  return Out + "</table>\n";
}

/// Figures that the offices measure come first.
int importance(const std::string &Figure) {
  const std::vector<std::string> Order{"broken", "imbalance", "wait", "bytes"};
  for (std::size_t I = 0; I < Order.size(); ++I)
    if (Figure.find(Order[I]) != std::string::npos)
      return static_cast<int>(I);
  return static_cast<int>(Order.size());
}

std::vector<std::string> figuresOf(const Results &Now) {
  std::set<std::string> Names;
  for (const Result &Each : Now)
    for (const auto &[Name, Value] : Each.Figures_)
      Names.insert(Name);
  std::vector<std::string> Out(Names.begin(), Names.end());
  std::stable_sort(Out.begin(), Out.end(), [](const auto &A, const auto &B) {
    return importance(A) < importance(B);
  });
  return Out;
}

std::optional<double> valueOf(const std::map<std::string, double> &Of,
                              const std::string &Name) {
  const auto At = Of.find(Name);
  if (At == Of.end())
    return std::nullopt;
  return At->second;
}

std::string figureChart(const std::string &Name, const Results &Now,
                        const Earlier &Before) {
  std::vector<Bar> Bars;
  for (const Result &Each : Now) {
    const auto Value = valueOf(Each.Figures_, Name);
    if (!Value)
      continue;
    const Result *Old = find(Before, Each);
    Bars.push_back({Each.label(), *Value,
                    Old ? valueOf(Old->Figures_, Name) : std::nullopt,
                    valueOf(Each.Bound_, Name)});
  }
  return "<h3>" + escaped(Name) + "</h3>\n" + barChart(Bars);
}

std::string seriesCharts(const Result &Each, const Result *Old) {
  std::string Out;
  for (const auto &[Name, Points] : Each.Series_) {
    std::vector<Line> Lines{{"this run", Points, false}};
    if (Old && Old->Series_.contains(Name))
      Lines.push_back({"earlier", Old->Series_.at(Name), true});
    Out += "<h3>" + escaped(Name + " over time, " + Each.label()) + "</h3>\n" +
           lineChart(Lines);
  }
  return Out;
}

std::string section(const std::string &Experiment, const Results &Now,
                    const Earlier &Before) {
  Results Own;
  std::copy_if(
      Now.begin(), Now.end(), std::back_inserter(Own),
      [&](const Result &Each) { return Each.Experiment_ == Experiment; });
  std::string Out = "<h2>" + escaped(Experiment) + "</h2>\n";
  for (const Result &Each : Own)
    Out += seriesCharts(Each, find(Before, Each));
  for (const std::string &Name : figuresOf(Own))
    Out += figureChart(Name, Own, Before);
  return Out;
}

std::string page(const Results &Now, const Earlier &Before) {
  std::string Out = Head + summary(Now, Before);
  std::vector<std::string> Experiments;
  for (const Result &Each : Now)
    if (std::find(Experiments.begin(), Experiments.end(), Each.Experiment_) ==
        Experiments.end())
      Experiments.push_back(Each.Experiment_);
  for (const std::string &Each : Experiments)
    Out += section(Each, Now, Before);
  return Out + "</body></html>\n";
}

} // namespace

int runReport(const Options &Asked) {
  if (Asked.Words_.empty() || Asked.Words_.size() > 2) {
    std::fprintf(stderr, "report: name a result file and, if there is one, an "
                         "earlier one\n");
    return 2;
  }
  std::vector<Results> Files;
  for (const std::string &File : Asked.Words_) {
    std::string Reason;
    auto Read = readResults(File, Reason);
    if (!Read) {
      std::fprintf(stderr, "report: %s\n", Reason.c_str());
      return 2;
    }
    Files.push_back(std::move(*Read));
  }
  Earlier Before;
  if (Files.size() > 1)
    for (const Result &Each : Files[1])
      Before[Each.key()] = Each;
  std::fputs(page(Files[0], Before).c_str(), stdout);
  return 0;
}

} // namespace medlarmoor::bench
