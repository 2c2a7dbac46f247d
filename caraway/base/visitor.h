#pragma once
// Builds one visitor for a variant from several lambdas.

namespace caraway {

template<class... Ts>
struct Visitor : Ts...
{
  using Ts::operator()...;
};

template<class... Ts>
Visitor(Ts...) -> Visitor<Ts...>;

} // namespace caraway
