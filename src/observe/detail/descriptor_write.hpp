#pragma once

#include <cstddef> // size_t
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Writes at most maxLogLineBytes to a descriptor if it accepts them without blocking. Returns the
/// number of bytes that were accepted, which is 0 if its reader does not read or is gone.
std::size_t writeWithoutBlocking(int file, std::string_view text);

} // namespace gypsumdale::detail
