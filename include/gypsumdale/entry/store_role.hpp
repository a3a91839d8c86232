#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

/// How a VM learns what the store holds.
enum class StoreRole {
    /// Reads for itself: the fleet is small, or nobody is known to read for this VM.
    Alone,
    /// Reads for itself and tells the others of its data centre.
    Reader,
    /// Is told by the readers of its data centre, and reads when it isn't.
    Follower,
};

/// Tells whether a VM in this role renews the lease of the duties or may take it over. In a large
/// fleet only the store's readers may: the others hear of the holder less often than it renews, and
/// each of them would read the lease in every term.
inline bool contendsForLease(StoreRole role, bool holdsLease)
{
    return role != StoreRole::Follower || holdsLease;
}

inline constexpr NameTable<StoreRole, 3> storeRoleNames = {{
        {StoreRole::Alone, "alone"},
        {StoreRole::Reader, "reader"},
        {StoreRole::Follower, "follower"},
}};

} // namespace gypsumdale
