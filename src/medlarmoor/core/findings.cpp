#include <medlarmoor/core/findings.hpp>

#include <algorithm>
#include <tuple>

namespace medlarmoor {

std::string Finding::text() const {
  std::string Out = Place_.File_ + ":" + std::to_string(Place_.Line_) + ":" +
                    std::to_string(Place_.Column_) + ": " + Message_;
  if (!Hint_.empty())
    Out += " (" + Hint_ + ")";
  return Out;
}

void Findings::add(Place Where, std::string Message, std::string Hint) {
  Items_.push_back({std::move(Where), std::move(Message), std::move(Hint)});
}

std::vector<Finding> Findings::sorted() const {
  std::vector<Finding> Sorted = Items_;
  std::stable_sort(
      Sorted.begin(), Sorted.end(), [](const Finding &A, const Finding &B) {
        return std::tie(A.Place_.File_, A.Place_.Line_, A.Place_.Column_) <
               std::tie(B.Place_.File_, B.Place_.Line_, B.Place_.Column_);
      });
  return Sorted;
}

std::string Findings::text() const {
  std::string Out;
  for (const Finding &Each : sorted())
    Out += Each.text() + "\n";
  return Out;
}

} // namespace medlarmoor
