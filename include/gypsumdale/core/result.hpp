#pragma once

#include <gypsumdale/core/error.hpp>

#include <utility> // move
#include <variant> // get, holds_alternative, monostate, variant

namespace gypsumdale {

/// Either a value or the error that prevented it.
template <typename T>
using Result = std::variant<T, Error>;

/// Value type of a result that carries no data on success.
using Done = std::monostate;

/// Returns whether a result holds a value. Complexity: constant.
template <typename T>
bool succeeded(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

/// Returns the value of a successful result. Throws std::bad_variant_access for a failed one.
/// Complexity: constant.
template <typename T>
T &valueOf(Result<T> &result)
{
    return std::get<T>(result);
}

template <typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

template <typename T>
T valueOf(Result<T> &&result)
{
    return std::get<T>(std::move(result));
}

/// Returns the error of a failed result. Throws std::bad_variant_access for a successful one.
/// Complexity: constant.
template <typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

/// Combines several lambdas into one visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace gypsumdale
