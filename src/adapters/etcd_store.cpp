#include "adapters/etcd_store.h"

#include "adapters/etcd_messages.h"
#include "adapters/http_stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <random>

namespace cuminscale
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t MaxConcurrentCalls = 8;
/// Number of change ids stored with the configuration. A write whose response was lost is recognized by its id, unless this
/// many changes by others follow it before it is retried.
constexpr std::size_t MaxRecentChanges = 64;
constexpr Duration InitialBackoff = milliseconds(200);
constexpr Duration MaxBackoff = seconds(5);

} // namespace

class EtcdStore::Impl : public std::enable_shared_from_this<EtcdStore::Impl>
{
public:
    Impl(asio::io_context &context, StoreSettings settings, const ProcessId &self, EventSink &sink)
        : m_context(context)
        , m_client(context, MaxConcurrentCalls)
        , m_settings(std::move(settings))
        , m_self(self)
        , m_sink(sink)
        , m_syncTimer(context)
        , m_leaseTimer(context)
        , m_probeTimer(context)
        , m_random(self.incarnation.value())
    { }

    void start()
    {
        sync();
        registerSelf();
    }

    void stop()
    {
        m_stopped = true;
        m_watch.reset();
        m_syncTimer.cancel();
        m_leaseTimer.cancel();
        m_probeTimer.cancel();
        if (!m_lease.empty()) {
            call("/v3/lease/revoke", etcd::leaseRequest(m_lease), [](const std::optional<etcd::Response> &) {});
        }
    }

    void write(effect::WriteConfig &&write)
    {
        const std::shared_ptr<Write> state =
            std::make_shared<Write>(Write{std::move(write), now() + m_settings.writeTimeout, InitialBackoff});
        readThenWrite(state);
    }

    std::uint64_t calls() const noexcept
    {
        return m_calls.load(std::memory_order_relaxed);
    }

private:
    using OnResponse = std::function<void(const std::optional<etcd::Response> &)>;

    /// A configuration write in progress.
    struct Write
    {
        effect::WriteConfig effect;
        std::chrono::steady_clock::time_point deadline;
        Duration backoff;
    };

    static std::chrono::steady_clock::time_point now()
    {
        return std::chrono::steady_clock::now();
    }

    /// Selects the next endpoint after a failed call, so that the next call goes to another server, if there is one.
    const Endpoint &selectNextEndpoint()
    {
        m_endpointIndex = (m_endpointIndex + 1) % m_settings.endpoints.size();
        return m_settings.endpoints[m_endpointIndex];
    }

    void call(const char *path, std::string body, OnResponse onResponse)
    {
        m_calls.fetch_add(1, std::memory_order_relaxed);
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.body = std::move(body);
        m_client.send(m_settings.endpoints[m_endpointIndex], std::move(request), m_settings.callTimeout,
                      [self = shared_from_this(), onResponse = std::move(onResponse)](HttpOutcome &&outcome) {
                          std::optional<etcd::Response> response;
                          if (outcome.completion == HttpCompletion::Answered && outcome.response.status == 200) {
                              response = etcd::parseResponse(outcome.response.body);
                          }
                          if (!response) {
                              self->selectNextEndpoint();
                          }
                          onResponse(response);
                      });
    }

    /// Calls a function after a delay, unless the timer is cancelled or set anew, or the store is stopped, before that.
    void scheduleAfter(asio::steady_timer &timer, Duration delay, std::function<void(Impl &)> callback)
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), callback = std::move(callback)](boost::system::error_code ec) {
            const std::shared_ptr<Impl> self = weak.lock();
            if (!ec && self && !self->m_stopped) {
                callback(*self);
            }
        });
    }

    /// Returns a random duration from half to all of the given one, so that entries that lost the store at the same
    /// time don't reconnect at the same time.
    Duration jittered(Duration delay)
    {
        return delay / 2 + Duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(delay.count() / 2 + 1)));
    }

    /// Reads all keys and starts a watch at the next revision, so that no change is missed in between.
    void sync()
    {
        m_watch.reset();
        call("/v3/kv/range", etcd::rangePrefix(etcd::Prefix),
             [self = shared_from_this()](const std::optional<etcd::Response> &response) {
                 if (self->m_stopped) {
                     return;
                 }
                 if (!response) {
                     self->scheduleSync();
                     return;
                 }
                 self->m_syncBackoff = InitialBackoff;
                 self->m_entries.clear();
                 for (const etcd::KeyValue &kv : response->kvs) {
                     self->applyKeyValue(kv);
                 }
                 self->reportEntries();
                 self->watch(response->revision + 1);
             });
    }

    void scheduleSync()
    {
        m_watch.reset();
        const Duration delay = jittered(m_syncBackoff);
        m_syncBackoff = std::min(m_syncBackoff * 2, MaxBackoff);
        m_probeTimer.cancel();
        scheduleAfter(m_syncTimer, delay, [](Impl &self) { self.sync(); });
    }

    void watch(std::int64_t from)
    {
        m_calls.fetch_add(1, std::memory_order_relaxed);
        m_watch = std::make_unique<HttpStream>(
            m_context, m_settings.endpoints[m_endpointIndex], "/v3/watch", etcd::watchPrefix(etcd::Prefix, from),
            [this](const std::string &line) { onWatchResponse(line); }, [this]() { scheduleSync(); });
        scheduleProbe();
    }

    void onWatchResponse(const std::string &line)
    {
        const std::optional<etcd::Response> response = etcd::parseResponse(line);
        if (!response) {
            // Deferred, because sync() destroys the stream whose callback is running.
            scheduleAfter(m_syncTimer, InitialBackoff, [](Impl &self) { self.sync(); });
            return;
        }
        bool entriesChanged = false;
        for (const etcd::KeyValue &kv : response->kvs) {
            entriesChanged = applyKeyValue(kv) || entriesChanged;
        }
        if (entriesChanged) {
            reportEntries();
        }
    }

    /// Reads the configuration periodically and compares revisions, because a stalled watch looks the same as one without
    /// changes.
    void scheduleProbe()
    {
        scheduleAfter(m_probeTimer, m_settings.probeInterval, [](Impl &self) {
            self.call("/v3/kv/range", etcd::rangeKey(etcd::ConfigKey),
                      [impl = self.shared_from_this()](const std::optional<etcd::Response> &response) {
                          if (impl->m_stopped) {
                              return;
                          }
                          if (!response) {
                              impl->scheduleSync();
                              return;
                          }
                          const std::int64_t seen = response->kvs.empty() ? 0 : response->kvs.front().modRevision;
                          if (seen != impl->m_configModRevision) {
                              impl->sync();
                              return;
                          }
                          impl->scheduleProbe();
                      });
        });
    }

    /// Processes a key-value pair. Returns whether it added, updated or removed an entry.
    bool applyKeyValue(const etcd::KeyValue &kv)
    {
        if (kv.key == etcd::ConfigKey) {
            m_configModRevision = kv.deleted ? 0 : kv.modRevision;
            const std::optional<ConfigVersion> version = kv.deleted ? std::nullopt : etcd::parseStoredConfig(kv.value);
            if (version) {
                m_sink.deliver(event::StoreConfigRead{*version});
            }
            return false;
        }
        if (kv.key.rfind(etcd::EntriesPrefix, 0) != 0) {
            return false;
        }
        const std::string name = kv.key.substr(etcd::EntriesPrefix.size());
        if (kv.deleted) {
            return m_entries.erase(name) > 0;
        }
        const std::optional<Endpoint> endpoint = parseEndpoint(name);
        // Other programs can write such keys too; one that is no address names no entry.
        const bool valid = endpoint && endpoint->port != 0;
        if (valid) {
            m_entries[name] = ProcessId{*endpoint, Incarnation()};
        }
        return valid;
    }

    void reportEntries()
    {
        event::StoreEntriesRead seen;
        for (const std::pair<const std::string, ProcessId> &entry : m_entries) {
            seen.entries.push_back(entry.second);
        }
        m_sink.deliver(std::move(seen));
    }

    void registerSelf()
    {
        const std::int64_t ttl = std::chrono::duration_cast<seconds>(m_settings.leaseDuration).count();
        call("/v3/lease/grant", etcd::grantLease(ttl),
             [self = shared_from_this()](const std::optional<etcd::Response> &response) {
                 if (!response || response->lease.empty() || self->m_stopped) {
                     self->scheduleRegistration();
                     return;
                 }
                 self->m_lease = response->lease;
                 const std::string key = std::string(etcd::EntriesPrefix) + toString(self->m_self.endpoint);
                 self->call("/v3/kv/put", etcd::putWithLease(key, "{}", self->m_lease),
                            [self](const std::optional<etcd::Response> &put) {
                                if (!put) {
                                    self->scheduleRegistration();
                                    return;
                                }
                                self->scheduleLeaseRenewal();
                            });
             });
    }

    void scheduleRegistration()
    {
        scheduleAfter(m_leaseTimer, jittered(m_settings.leaseDuration / 2), [](Impl &self) { self.registerSelf(); });
    }

    void scheduleLeaseRenewal()
    {
        scheduleAfter(m_leaseTimer, m_settings.leaseDuration / 3, [](Impl &self) {
            self.call("/v3/lease/keepalive", etcd::leaseRequest(self.m_lease),
                      [impl = self.shared_from_this()](const std::optional<etcd::Response> &response) {
                          const bool expired = response && (response->ttl.empty() || response->ttl == "0");
                          if (expired) {
                              impl->registerSelf();
                              return;
                          }
                          impl->scheduleLeaseRenewal();
                      });
        });
    }

    void finishWrite(const std::shared_ptr<Write> &write, event::StoreWriteEnded::How result, ConfigVersion current)
    {
        m_sink.deliver(event::StoreWriteEnded{write->effect.tag, result, std::move(current)});
    }

    /// Reads the configuration before each attempt to write it. If the id of this change is among the recent changes, an earlier
    /// attempt whose response was lost has succeeded.
    void readThenWrite(const std::shared_ptr<Write> &write)
    {
        call("/v3/kv/range", etcd::rangeKey(etcd::ConfigKey),
             [self = shared_from_this(), write](const std::optional<etcd::Response> &response) {
                 if (!response) {
                     self->scheduleWriteRetry(write);
                     return;
                 }
                 const std::int64_t modRevision = response->kvs.empty() ? 0 : response->kvs.front().modRevision;
                 const ConfigVersion current = response->kvs.empty()
                     ? ConfigVersion()
                     : etcd::parseStoredConfig(response->kvs.front().value).value_or(ConfigVersion());
                 const std::vector<std::string> &recent = current.recentChanges;
                 if (std::find(recent.begin(), recent.end(), write->effect.next.changeId) != recent.end()) {
                     self->finishWrite(write, event::StoreWriteEnded::How::Written, current);
                     return;
                 }
                 if (write->effect.checkOnly || current.revision != write->effect.base) {
                     self->finishWrite(write, event::StoreWriteEnded::How::Conflict, current);
                     return;
                 }
                 write->effect.next.recentChanges = recent;
                 write->effect.next.recentChanges.push_back(write->effect.next.changeId);
                 if (write->effect.next.recentChanges.size() > MaxRecentChanges) {
                     write->effect.next.recentChanges.erase(write->effect.next.recentChanges.begin());
                 }
                 self->compareAndPut(write, modRevision);
             });
    }

    /// Writes by compare-and-swap. A failed comparison is retried like a failed call: the next read detects the conflict.
    void compareAndPut(const std::shared_ptr<Write> &write, std::int64_t modRevision)
    {
        const std::string body =
            etcd::putIfModRevision(etcd::ConfigKey, etcd::serializeStoredConfig(write->effect.next), modRevision);
        call("/v3/kv/txn", body, [self = shared_from_this(), write](const std::optional<etcd::Response> &response) {
            if (response && response->succeeded) {
                self->finishWrite(write, event::StoreWriteEnded::How::Written, write->effect.next);
                return;
            }
            self->scheduleWriteRetry(write);
        });
    }

    void scheduleWriteRetry(const std::shared_ptr<Write> &write)
    {
        if (m_stopped || now() >= write->deadline) {
            finishWrite(write, event::StoreWriteEnded::How::Unreachable, ConfigVersion());
            return;
        }
        const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context);
        const Duration delay = jittered(write->backoff);
        write->backoff = std::min(write->backoff * 2, MaxBackoff);
        timer->expires_after(delay);
        timer->async_wait([self = shared_from_this(), write, timer](boost::system::error_code) { self->readThenWrite(write); });
    }

    asio::io_context &m_context;
    HttpClient m_client;
    StoreSettings m_settings;
    ProcessId m_self;
    EventSink &m_sink;
    asio::steady_timer m_syncTimer;
    asio::steady_timer m_leaseTimer;
    asio::steady_timer m_probeTimer;
    std::mt19937_64 m_random;
    std::unique_ptr<HttpStream> m_watch;
    std::map<std::string, ProcessId> m_entries;
    std::string m_lease;
    std::int64_t m_configModRevision = 0;
    std::size_t m_endpointIndex = 0;
    Duration m_syncBackoff = InitialBackoff;
    std::atomic<std::uint64_t> m_calls = 0;
    bool m_stopped = false;
};

EtcdStore::EtcdStore(asio::io_context &context, StoreSettings settings, const ProcessId &self, EventSink &sink)
    : m_impl(std::make_shared<Impl>(context, std::move(settings), self, sink))
{ }

EtcdStore::~EtcdStore() = default;

void EtcdStore::start()
{
    m_impl->start();
}

void EtcdStore::stop()
{
    m_impl->stop();
}

void EtcdStore::write(effect::WriteConfig &&write)
{
    m_impl->write(std::move(write));
}

std::uint64_t EtcdStore::calls() const noexcept
{
    return m_impl->calls();
}

} // namespace cuminscale
