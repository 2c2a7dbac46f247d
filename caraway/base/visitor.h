#pragma once
// Combines several lambdas into one visitor for std::visit.

namespace caraway {

template<class... Ts>
struct Visitor : Ts...
{
  using Ts::operator()...;
};

template<class... Ts>
Visitor(Ts...) -> Visitor<Ts...>;

} // namespace caraway
