#pragma once

#include "support/child_process.hpp"
#include "support/store_target.hpp"

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <nlohmann/json.hpp>

#include <algorithm> // max
#include <atomic> // atomic
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint16_t
#include <functional> // function
#include <map> // map
#include <mutex> // lock_guard, mutex
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::testing {

using Json = nlohmann::json;

/// Small stand-in for the user platform's store: objects by kind with conditional updates, lists of
/// several pages in the order of names, and watches. It refuses malformed targets, and can be set
/// to refuse all callers. All calls are made on the loop's thread.
class StoreStandIn
{
public:
    /// Few, so that the lists of most tests have several pages.
    static constexpr std::size_t defaultPageItems = 4;

    explicit StoreStandIn(FiberLoop &loop)
        : m_loop(loop)
        , m_port(openPortFor({}))
    {}

    /// Returns the port that any caller may use.
    std::uint16_t port() const { return m_port; }

    /// Returns a further port, all of whose callers are the given VM.
    std::uint16_t openPortFor(const std::string &node)
    {
        const std::uint16_t port = freePort();
        const auto handler = [this, node](const HttpRequest &request, HttpResponder &responder) {
            answer(node, request, responder);
        };
        m_servers.push_back(valueOf(HttpServerBuilder()
                                            .listenOn("127.0.0.1", port)
                                            .runOn({&m_loop})
                                            .handleWith(handler)
                                            .build()));
        return port;
    }

    /// Writes an object and returns its revision.
    std::int64_t put(const std::string &kind, const std::string &name, const Json &spec)
    {
        return m_loop.call([&] {
            store(kind, name, spec);
            return m_revision;
        });
    }

    /// Returns the revision up to which a VM has received the upstreams: the one from which it has
    /// asked for changes.
    std::int64_t receivedUpstreamRevision(const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        return m_takenIn[node];
    }
    /// Clears the revision that a VM has received, for a process that starts.
    void clearReceivedRevision(const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        m_takenIn[node] = 0;
    }

    /// Returns what the product has recorded about an object; null if nothing.
    Json status(const std::string &kind, const std::string &name)
    {
        return m_loop.call([&] { return m_objects[kind][name].m_status; });
    }

    bool has(const std::string &kind, const std::string &name)
    {
        return m_loop.call([&] { return m_objects[kind].contains(name); });
    }

    /// Sends a text in place of an object from now on, which keeps its place among the names of its
    /// kind: an item that is no object at all.
    void putRawItem(const std::string &kind, const std::string &name, const std::string &text)
    {
        m_loop.call([&] {
            store(kind, name, nullptr);
            m_objects[kind][name].m_rawItem = text;
        });
    }

    void remove(const std::string &kind, const std::string &name)
    {
        m_loop.call([&] { removeFromLoop(kind, name); });
    }

    /// Tells a VM another address for an upstream from now on, so that it has a path of its own.
    void replaceAddressFor(const std::string &node, const std::string &address,
                           const std::string &replacement)
    {
        m_loop.call([&] { m_replacedAddresses[node][address] = replacement; });
    }

    /// Sends another text in place of a string, wherever that stands in an object: what a writer
    /// may have sent that no JSON library writes.
    void sendRaw(const std::string &string, const std::string &text)
    {
        m_loop.call([&] { m_rawTexts[Json(string).dump()] = text; });
    }

    /// Sets the largest number of items in a page of a list.
    void setPageItems(std::size_t items) { m_pageItems = items; }

    /// Calls a function before each page of a list is made, on the loop's thread.
    void beforePages(std::function<void()> called) { m_beforePages = std::move(called); }

    /// Writes an object from the loop's thread.
    void putFromLoop(const std::string &kind, const std::string &name, const Json &spec)
    {
        store(kind, name, spec);
    }
    /// Removes an object from the loop's thread.
    void removeFromLoop(const std::string &kind, const std::string &name)
    {
        m_events.push_back({++m_revision, kind, object(kind, name), true});
        m_objects[kind].erase(name);
    }

    /// Sets whether callers are refused from now on.
    void refuse(bool refuses) { m_refuses = refuses; }

    /// Sets how long each removal of an object takes from now on.
    void delayRemovals(Duration delay) { m_removalDelay = delay; }

    /// Sets how long each listing of objects takes from now on.
    void delayListings(Duration delay) { m_listingDelay = delay; }

private:
    struct Event
    {
        std::int64_t m_revision;
        std::string m_kind;
        Json m_object;
        bool m_isRemoved;
    };
    struct Stored
    {
        std::int64_t m_revision = 0;
        Json m_spec;
        Json m_status = nullptr;
        std::int64_t m_createdRevision = 0;
        /// What is sent in place of the object; empty if that is sent itself.
        std::string m_rawItem;
    };

    Json object(const std::string &kind, const std::string &name)
    {
        const Stored &stored = m_objects[kind][name];
        if (!stored.m_rawItem.empty()) {
            const std::string mark = "@item " + kind + " " + name;
            m_rawTexts[Json(mark).dump()] = stored.m_rawItem;
            return mark;
        }
        return {{"metadata",
                 {{"name", name},
                  {"revision", stored.m_revision},
                  {"create-rev", stored.m_createdRevision}}},
                {"spec", stored.m_spec},
                {"status", stored.m_status}};
    }

    /// Returns an object as a VM is to see it.
    Json seenBy(const std::string &node, Json object) const
    {
        const auto replaced = m_replacedAddresses.find(node);
        if (replaced == m_replacedAddresses.end() || !object.is_object())
            return object;
        Json &spec = object["spec"];
        if (!spec.contains("address"))
            return object;
        const auto address = replaced->second.find(spec["address"].get<std::string>());
        if (address != replaced->second.end())
            spec["address"] = address->second;
        return object;
    }

    Json store(const std::string &kind, const std::string &name, const Json &spec)
    {
        Stored &stored = m_objects[kind][name];
        stored.m_spec = spec;
        return recordChange(kind, name);
    }

    Json recordChange(const std::string &kind, const std::string &name)
    {
        Stored &stored = m_objects[kind][name];
        stored.m_revision = ++m_revision;
        if (stored.m_createdRevision == 0)
            stored.m_createdRevision = m_revision;
        m_events.push_back({m_revision, kind, object(kind, name), false});
        return object(kind, name);
    }

    void send(HttpResponder &responder, int status, const Json &body = Json::object()) const
    {
        std::string text = body.dump();
        for (const auto &[written, sent] : m_rawTexts) {
            for (std::size_t at = text.find(written); at != std::string::npos;
                 at = text.find(written, at + sent.size()))
                text.replace(at, written.size(), sent);
        }
        responder.send({status, {}, text});
    }

    void answer(const std::string &node, const HttpRequest &request, HttpResponder &responder)
    {
        if (m_refuses) {
            send(responder, 503);
            return;
        }
        if (!isWellFormedTarget(request.m_target)) {
            send(responder, 400);
            return;
        }
        const auto target = decodeStoreTarget(request.m_target);
        if (!target)
            send(responder, 404);
        else if (request.m_method == "GET" && !target->m_name.empty())
            answerOne(target->m_kind, target->m_name, responder);
        else if (request.m_method == "GET" && request.parameter("watch"))
            answerWatch(node, target->m_kind, request, responder);
        else if (request.m_method == "GET")
            answerList(node, target->m_kind, request, responder);
        else
            answerWrite(*target, request, responder);
    }

    void answerOne(const std::string &kind, const std::string &name, HttpResponder &responder)
    {
        if (m_objects[kind].contains(name))
            send(responder, 200, object(kind, name));
        else
            send(responder, 404);
    }

    void answerList(const std::string &node, const std::string &kind, const HttpRequest &request,
                    HttpResponder &responder)
    {
        sleepFiber(m_listingDelay);
        if (m_beforePages)
            m_beforePages();
        const std::optional<std::string> after = request.parameter("after-rev");
        const auto &objects = m_objects[kind];
        Json items = Json::array();
        auto entry = after ? objects.upper_bound(*after) : objects.begin();
        for (; entry != objects.end() && items.size() < m_pageItems; ++entry)
            items.push_back(seenBy(node, object(kind, entry->first)));
        const bool hasMore = entry != objects.end();
        send(responder, 200,
             {{"items", items}, {"has-more", hasMore}, {"current-rev", m_revision}});
    }

    void recordReceivedRevision(const std::string &node, std::int64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        m_takenIn[node] = std::max(m_takenIn[node], revision);
    }

    void answerWatch(const std::string &node, const std::string &kind, const HttpRequest &request,
                     HttpResponder &responder)
    {
        const std::int64_t since = std::stoll(*request.parameter("watch"));
        if (kind == "servers")
            recordReceivedRevision(node, since);
        const int wait = std::stoi(request.parameter("wait-ms").value_or("0"));
        Json events = Json::array();
        for (int waited = 0; events.empty() && waited <= wait && !m_refuses; waited += 10) {
            if (waited > 0)
                sleepFiber(std::chrono::milliseconds(10));
            for (const Event &event : m_events) {
                if (event.m_kind == kind && event.m_revision > since)
                    events.push_back({{"object", seenBy(node, event.m_object)},
                                      {"removed", event.m_isRemoved}});
            }
        }
        send(responder, m_refuses ? 503 : 200, {{"events", events}, {"current-rev", m_revision}});
    }

    void answerWrite(const StoreTarget &target, const HttpRequest &request,
                     HttpResponder &responder)
    {
        const Json body = Json::parse(request.m_body, nullptr, false);
        const std::string &kind = target.m_kind;
        const bool isCreation = request.m_method == "POST";
        const std::string name =
                isCreation ? body["metadata"].value("name", std::string()) : target.m_name;
        if (name.empty() || isCreation != target.m_name.empty()) {
            send(responder, 400);
            return;
        }
        auto &objects = m_objects[kind];
        if (request.m_method == "DELETE") {
            sleepFiber(m_removalDelay);
            objects.erase(name);
            send(responder, 200);
            return;
        }
        const bool exists = objects.contains(name);
        const std::int64_t expected = body["metadata"].value("revision", std::int64_t(0));
        if (isCreation ? exists : expected != 0 && objects[name].m_revision != expected) {
            send(responder, 409, object(kind, name));
            return;
        }
        if (!target.m_isStatus) {
            send(responder, 200, store(kind, name, body["spec"]));
            return;
        }
        if (!exists) {
            send(responder, 404);
            return;
        }
        objects[name].m_status = body["status"];
        send(responder, 200, recordChange(kind, name));
    }

    FiberLoop &m_loop;
    std::atomic<bool> m_refuses = false;
    std::atomic<Duration> m_removalDelay = Duration::zero();
    std::atomic<Duration> m_listingDelay = Duration::zero();
    std::atomic<std::size_t> m_pageItems = defaultPageItems;
    std::function<void()> m_beforePages;
    std::int64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Stored>> m_objects;
    std::vector<Event> m_events;
    /// By VM and address.
    std::map<std::string, std::map<std::string, std::string>> m_replacedAddresses;
    /// What is sent in place of a text, by that text.
    std::map<std::string, std::string> m_rawTexts;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_takenIn;
    std::vector<HttpServer> m_servers;
    std::uint16_t m_port;
};

/// Upstream that signs its answers and echoes the request's id. A test may replace its behaviour
/// for single requests.
class UpstreamStandIn
{
public:
    using Behaviour = std::function<void(const HttpRequest &, HttpResponder &, HttpHeaders)>;

    UpstreamStandIn(FiberLoop &loop, std::string id)
        : m_id(std::move(id))
        , m_port(freePort())
        , m_server(valueOf(
                  HttpServerBuilder()
                          .listenOn("127.0.0.1", m_port)
                          .runOn({&loop})
                          .handleWith([this](const HttpRequest &request, HttpResponder &responder) {
                              answer(request, responder);
                          })
                          .build()))
    {}

    const std::string &id() const { return m_id; }
    std::uint16_t port() const { return m_port; }
    void behave(Behaviour behaviour)
    {
        const std::lock_guard lock(m_mutex);
        m_behaviour = std::move(behaviour);
    }
    std::vector<HttpRequest> seen() const
    {
        const std::lock_guard lock(m_mutex);
        return m_seen;
    }

private:
    void answer(const HttpRequest &request, HttpResponder &responder)
    {
        Behaviour behaviour;
        {
            const std::lock_guard lock(m_mutex);
            m_seen.push_back(request);
            behaviour = m_behaviour;
        }
        HttpHeaders headers;
        headers.add("Gypsumdale-Request-Id",
                    std::string(request.m_headers.value("Gypsumdale-Request-Id")));
        headers.add("Gypsumdale-Response-Signature", m_id);
        if (behaviour)
            behaviour(request, responder, headers);
        else
            responder.send({200, headers, "from " + m_id});
    }

    std::string m_id;
    std::uint16_t m_port;
    mutable std::mutex m_mutex;
    Behaviour m_behaviour;
    std::vector<HttpRequest> m_seen;
    HttpServer m_server;
};

} // namespace gypsumdale::testing
