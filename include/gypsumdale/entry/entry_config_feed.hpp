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

/// Follows the configuration in the store and takes it from peers. Only higher versions are
/// adopted, whoever tells: neither a stale read nor a peer that lags can turn the VM back.
class EntryConfigFeed
{
public:
    /// Called with each version that is adopted, on the control thread.
    using Adopted = std::function<void(const ServingViewPointer &)>;

    EntryConfigFeed(EntryContext &context, Adopted adopted);

    /// Follows the store until the process stops. Runs in a fiber of its own.
    void follow();

    /// Called after a reading of the store that brought nothing, on the control thread.
    using StoreReadFailed = std::function<void()>;
    void onStoreReadFailed(StoreReadFailed failed) { m_readingFailed = std::move(failed); }

    /// Says whether a peer is about to bring the whole text: the store isn't asked for it besides.
    void setFetching(bool isFetching) { m_isFetching = isFetching; }
    bool isFetching() const { return m_isFetching; }
    /// Tells whether the store has been asked for the whole text and has not answered yet.
    bool isReadingFullText() const { return m_isReadingWhole; }

    /// Takes a version as a peer passed it on. Returns true if it was new.
    bool applyFromPeer(const std::string &text, const std::string &peer);

    /// Says how this VM learns of versions from now on.
    void setRole(StoreRole role) { m_role = role; }
    StoreRole role() const { return m_role; }
    /// Takes in which version a reader of this data centre holds, how long ago the store confirmed
    /// it, and whether the reader sends it to who asks. Returns whether to ask.
    bool receiveUpdate(std::int64_t version, const ReportedAge &age, bool isSent);
    /// How long ago the store surely had no later version than the one in force.
    Duration age() const { return m_context.now() - m_confirmation.at(); }

    /// Tells whether the store doesn't answer, so that news can come from peers only.
    bool isStoreLost() const { return m_store.isLost(); }
    std::int64_t version() const { return m_version; }
    /// The configuration in force as the store wrote it, to pass on.
    const std::string &text() const { return m_text; }
    const ServingViewPointer &view() const { return m_view; }

private:
    bool adopt(const std::string &text, std::string_view source);
    void take(const platform::StoreObject &object);
    Duration toldLimit() const;
    bool isTold() const;
    Duration watchWait() const;
    bool mustReadWhole() const;
    void readWhole();
    void watchOnce();
    void noteRead(std::int64_t revision);

    EntryContext &m_context;
    Adopted m_adopted;
    DependencyMonitor m_store;
    ServingViewPointer m_view;
    std::string m_text;
    std::int64_t m_version = 0;
    /// Where the next watch begins; 0 to read anew.
    std::int64_t m_revision = 0;
    StoreRole m_role = StoreRole::Alone;
    Confirmation m_confirmation;
    /// When the store last answered this VM itself.
    TimePoint m_readAt{};
    ConfigSourceSelector m_news;
    StoreReadFailed m_readingFailed;
    bool m_isFetching = false;
    bool m_isReadingWhole = false;
};

} // namespace gypsumdale
