#ifndef MEDLARMOOR_CORE_OVERLOADED_HPP
#define MEDLARMOOR_CORE_OVERLOADED_HPP

namespace medlarmoor {

/// Joins lambdas into one visitor for std::visit.
template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_OVERLOADED_HPP
