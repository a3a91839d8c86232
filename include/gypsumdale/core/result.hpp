#pragma once

#include <gypsumdale/core/error.hpp>

#include <utility> // move
#include <variant> // get, holds_alternative, monostate, variant

namespace gypsumdale {

/// Either a value or the reason there is none.
template <typename T>
using Result = std::variant<T, Error>;

/// The value of a result that has nothing to say but that it worked.
using Done = std::monostate;

/// Tells whether a result holds a value. Constant.
template <typename T>
bool succeeded(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

/// Returns the value of a result that succeeded. Constant; throws std::bad_variant_access
/// otherwise.
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

/// Returns the error of a result that failed. Constant; throws std::bad_variant_access otherwise.
template <typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

/// Joins lambdas into one visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace gypsumdale
