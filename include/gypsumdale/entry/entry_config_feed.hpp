#pragma once

#include <gypsumdale/entry/config_source_selector.hpp>
#include <gypsumdale/entry/confirmation.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/store_role.hpp>
#include <gypsumdale/serving/serving_view.hpp>

#include <cstdint> // int64_t
#include <functional> // function
#include <string> // string
#include <utility> // move

namespace gypsumdale {

/// Follows the configuration in the store and receives it from peers. Only higher versions are
/// adopted, whatever their source, so that neither a stale read nor a peer that is behind can
/// revert the VM to an older version.
class EntryConfigFeed
{
public:
    /// Called with each adopted version, on the control thread.
    using Adopted = std::function<void(const ServingViewPointer &)>;

    EntryConfigFeed(EntryContext &context, Adopted adopted);

    /// Follows the store until the process stops. Runs in a fiber of its own.
    void follow();

    /// Called after each failed read of the store, on the control thread.
    using StoreReadFailed = std::function<void()>;
    void onStoreReadFailed(StoreReadFailed callback) { m_storeReadFailed = std::move(callback); }

    /// Sets whether a peer is about to send the full text. The store isn't asked for the full text
    /// meanwhile.
    void setFetching(bool isFetching) { m_isFetching = isFetching; }
    bool isFetching() const { return m_isFetching; }
    /// Returns whether a request to the store for the full text is unanswered.
    bool isReadingFullText() const { return m_isReadingFullText; }

    /// Adopts a version received from a peer if it is newer than the own one. Returns whether it
    /// was.
    bool applyFromPeer(const std::string &text, const std::string &peer);

    /// Sets how this VM learns of versions from now on.
    void setRole(StoreRole role) { m_role = role; }
    StoreRole role() const { return m_role; }
    /// Applies a reader's report of its version, of the age of the store's confirmation, and of
    /// whether the reader sends the text on request. Returns whether to request it.
    bool receiveUpdate(std::int64_t version, const ReportedAge &age, bool isSent);
    /// Returns the time since the store last confirmed that it has no later version than the one in
    /// force.
    Duration age() const { return m_context.now() - m_confirmation.at(); }

    /// Returns whether the store doesn't answer, so that updates can come from peers only.
    bool isStoreLost() const { return m_store.isLost(); }
    std::int64_t version() const { return m_version; }
    /// Returns the configuration in force as the store wrote it, to pass on to peers.
    const std::string &text() const { return m_text; }
    const ServingViewPointer &view() const { return m_view; }

private:
    bool adopt(const std::string &text, std::string_view source);
    void applyObject(const platform::StoreObject &object);
    Duration updateAgeLimit() const;
    bool hasRecentUpdate() const;
    Duration watchWait() const;
    bool mustReadFullText() const;
    void readFullText();
    void watchOnce();
    void recordRead(std::int64_t revision);

    EntryContext &m_context;
    Adopted m_adopted;
    DependencyMonitor m_store;
    ServingViewPointer m_view;
    std::string m_text;
    std::int64_t m_version = 0;
    /// Revision at which the next watch begins; 0 to read the full text again.
    std::int64_t m_revision = 0;
    StoreRole m_role = StoreRole::Alone;
    Confirmation m_confirmation;
    /// Time of the last answer of the store to this VM itself.
    TimePoint m_readAt{};
    ConfigSourceSelector m_sourceSelector;
    StoreReadFailed m_storeReadFailed;
    bool m_isFetching = false;
    bool m_isReadingFullText = false;
};

} // namespace gypsumdale
