#pragma once

#include <gypsumdale/core/names.hpp>

namespace gypsumdale {

/// How a VM learns the store's content.
enum class StoreRole {
    /// Reads for itself: the fleet is small, or no reader is known for this VM.
    Alone,
    /// Reads for itself and sends updates to the followers of its data centre.
    Reader,
    /// Receives updates from the readers of its data centre, and reads for itself when it receives
    /// none.
    Follower,
};

/// Returns whether a VM in this role renews the lease of the duties or may take it over. In a large
/// fleet only the store's readers may: the others receive the holder's reports less often than it
/// renews, and each of them would read the lease in every term.
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
