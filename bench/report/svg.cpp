#include <bench/report/svg.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace medlarmoor::bench {

namespace {

constexpr const char *NowColour = "#2563a8";
constexpr const char *BeforeColour = "#a9bfd6";
constexpr const char *BrokenColour = "#c0392b";
constexpr const char *BoundColour = "#444444";
constexpr const char *GridColour = "#dddddd";
constexpr std::array<const char *, 6> LineColours{
    "#2563a8", "#c0392b", "#2e8b57", "#b8860b", "#6a4ca3", "#555555"};

// Sizes in pixels.
constexpr double Width = 860;
constexpr double LabelWidth = 300;
constexpr double ValueWidth = 140;
constexpr double RowHeight = 30;
constexpr double BarHeight = 10;
constexpr double PlotHeight = 220;
constexpr double Margin = 12;
constexpr double AxisWidth = 70;
constexpr int GridLines = 4;

std::string px(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.1f", Value);
  return Text.data();
}

std::string rect(double X, double Y, double W, double H, const char *Colour) {
  return "<rect x=\"" + px(X) + "\" y=\"" + px(Y) + "\" width=\"" + px(W) +
         "\" height=\"" + px(H) + "\" fill=\"" + Colour + "\"/>\n";
}

std::string stroke(double X1, double Y1, double X2, double Y2,
                   const char *Colour, double Thick) {
  return "<line x1=\"" + px(X1) + "\" y1=\"" + px(Y1) + "\" x2=\"" + px(X2) +
         "\" y2=\"" + px(Y2) + "\" stroke=\"" + Colour + "\" stroke-width=\"" +
         px(Thick) + "\"/>\n";
}

std::string label(double X, double Y, const std::string &Text,
                  const char *Anchor = "start") {
  return "<text x=\"" + px(X) + "\" y=\"" + px(Y) +
         "\" font-family=\"sans-serif\" font-size=\"12\" fill=\"#222222\" "
         "text-anchor=\"" +
         Anchor + "\">" + escaped(Text) + "</text>\n";
}

std::string frame(double Height, const std::string &Inside) {
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + px(Width) +
         "\" height=\"" + px(Height) + "\" viewBox=\"0 0 " + px(Width) + " " +
         px(Height) + "\">\n" + Inside + "</svg>\n";
}

double greatest(const std::vector<Bar> &Bars) {
  double Out = 0;
  for (const Bar &Each : Bars)
    Out = std::max(
        {Out, Each.Now_, Each.Before_.value_or(0), Each.Bound_.value_or(0)});
  return Out > 0 ? Out : 1;
}

std::string row(const Bar &Each, double Top, double Scale) {
  const bool Broken = Each.Bound_ && Each.Now_ > *Each.Bound_;
  const double Left = LabelWidth;
  std::string Out = label(Left - Margin, Top + 14, Each.Label_, "end");
  Out += rect(Left, Top + 3, std::max(Each.Now_ * Scale, 1.0), BarHeight,
              Broken ? BrokenColour : NowColour);
  if (Each.Before_)
    Out += rect(Left, Top + 4 + BarHeight, std::max(*Each.Before_ * Scale, 1.0),
                BarHeight - 4, BeforeColour);
  if (Each.Bound_) {
    const double X = Left + *Each.Bound_ * Scale;
    Out += stroke(X, Top + 1, X, Top + RowHeight - 6, BoundColour, 1.5);
  }
  std::string Value = shortNumber(Each.Now_);
  if (Each.Before_)
    Value += " (" + shortNumber(*Each.Before_) + ")";
  Out += label(Width - ValueWidth + Margin, Top + 14, Value);
  return Out;
}

/// The corners of the plane that holds all points.
struct Plane {
  double FirstX_ = 0;
  double LastX_ = 1;
  double Top_ = 1;

  [[nodiscard]] double x(double Value) const {
    const double Share = (Value - FirstX_) / (LastX_ - FirstX_);
    return AxisWidth + Share * (Width - AxisWidth - ValueWidth - Margin);
  }
  [[nodiscard]] double y(double Value) const {
    return Margin + (1 - Value / Top_) * PlotHeight;
  }
};

Plane planeOf(const std::vector<Line> &Lines) {
  Plane Out;
  bool First = true;
  double Top = 0;
  for (const Line &Each : Lines)
    for (const auto &[X, Y] : Each.Points_) {
      Out.FirstX_ = First ? X : std::min(Out.FirstX_, X);
      Out.LastX_ = First ? X : std::max(Out.LastX_, X);
      Top = std::max(Top, Y);
      First = false;
    }
  if (Out.LastX_ <= Out.FirstX_)
    Out.LastX_ = Out.FirstX_ + 1;
  Out.Top_ = Top > 0 ? Top * 1.05 : 1;
  return Out;
}

std::string grid(const Plane &Of) {
  std::string Out;
  for (int I = 0; I <= GridLines; ++I) {
    const double Value = Of.Top_ * I / GridLines;
    const double Y = Of.y(Value);
    Out += stroke(AxisWidth, Y, Width - ValueWidth - Margin, Y, GridColour, 1);
    Out += label(AxisWidth - 6, Y + 4, shortNumber(Value), "end");
    const double X = Of.FirstX_ + (Of.LastX_ - Of.FirstX_) * I / GridLines;
    Out += label(Of.x(X), PlotHeight + Margin + 18, shortNumber(X) + " s",
                 "middle");
  }
  return Out;
}

std::string polyline(const Plane &Of, const Line &Each, const char *Colour) {
  std::string Points;
  for (const auto &[X, Y] : Each.Points_)
    Points += px(Of.x(X)) + "," + px(Of.y(Y)) + " ";
  return "<polyline fill=\"none\" stroke=\"" + std::string(Colour) +
         "\" stroke-width=\"1.5\"" +
         (Each.Earlier_ ? " stroke-dasharray=\"5,4\"" : "") + " points=\"" +
         Points + "\"/>\n";
}

} // namespace

std::string barChart(const std::vector<Bar> &Bars) {
  const double Scale =
      (Width - LabelWidth - ValueWidth - Margin) / greatest(Bars);
  std::string Out =
      stroke(LabelWidth, 0, LabelWidth,
             RowHeight * static_cast<double>(Bars.size()), GridColour, 1);
  double Top = 0;
  for (const Bar &Each : Bars) {
    Out += row(Each, Top, Scale);
    Top += RowHeight;
  }
  return frame(Top + Margin, Out);
}

std::string lineChart(const std::vector<Line> &Lines) {
  const Plane Of = planeOf(Lines);
  std::string Out = grid(Of);
  std::size_t Next = 0;
  for (const Line &Each : Lines) {
    const char *Colour =
        Each.Earlier_ ? BeforeColour : LineColours[Next % LineColours.size()];
    Out += polyline(Of, Each, Colour);
    const double Y = Margin + 14 * static_cast<double>(Next + 1);
    Out += rect(Width - ValueWidth - 6, Y - 8, 8, 8, Colour);
    Out += label(Width - ValueWidth + 6, Y, Each.Label_);
    ++Next;
  }
  return frame(PlotHeight + 2 * Margin + 24, Out);
}

std::string shortNumber(double Value) {
  std::array<char, 32> Text{};
  if (std::abs(Value) >= 100 || Value == std::floor(Value))
    std::snprintf(Text.data(), Text.size(), "%.0f", Value);
  else
    std::snprintf(Text.data(), Text.size(), "%.3g", Value);
  return Text.data();
}

std::string escaped(const std::string &Text) {
  std::string Out;
  for (const char C : Text) {
    if (C == '<')
      Out += "&lt;";
    else if (C == '>')
      Out += "&gt;";
    else if (C == '&')
      Out += "&amp;";
    else if (C == '"')
      Out += "&quot;";
    else
      Out += C;
  }
  return Out;
}

} // namespace medlarmoor::bench
