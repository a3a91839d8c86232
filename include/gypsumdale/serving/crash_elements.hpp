#pragma once

#include <gypsumdale/core/ids.hpp>

#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// What may be the cause of an upstream's end: a whole request, or one part of its prompt as a
/// model reads it.
using CrashElement = Id<struct CrashElementTag>;
using CrashElements = std::set<CrashElement>;

/// Returns all that may be the cause of an end under a request. Requests that are the same have the
/// same elements, and others share those of their common parts. Of a long prompt only the first
/// parts count. Complexity: linear in the parts.
CrashElements crashElementsOf(const RequestDigest &digest, std::string_view model,
                              const std::vector<std::string> &promptParts);

/// Returns whether a set holds a whole request, so that only attempts of that one hold them all.
/// Complexity: linear.
bool holdsWholeRequest(const CrashElements &elements);

/// Returns whether a request holds all elements of a set. Complexity: n log n.
bool holdsAll(const CrashElements &request, const CrashElements &required);

/// Returns the elements that two sets share. Complexity: linear.
CrashElements commonElements(const CrashElements &left, const CrashElements &right);

/// Returns the elements as one text, for logs and for choosing a VM by hash. Complexity: linear.
std::string textOf(const CrashElements &elements);

} // namespace gypsumdale
