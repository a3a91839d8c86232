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

inline constexpr NameTable<StoreRole, 3> storeRoleNames = {{
        {StoreRole::Alone, "alone"},
        {StoreRole::Reader, "reader"},
        {StoreRole::Follower, "follower"},
}};

} // namespace gypsumdale
