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

constexpr std::size_t MaxCallsAtOnce = 8;
/// Changes that may follow within the few seconds in which a lost answer is looked into.
constexpr std::size_t MaxRecentChanges = 64;
constexpr Duration FirstBackoff = milliseconds(200);
constexpr Duration MaxBackoff = seconds(5);

} // namespace

class EtcdStore::Impl : public std::enable_shared_from_this<EtcdStore::Impl>
{
public:
    Impl(asio::io_context &context, StoreSettings settings, const ProcessId &self, EventSink &sink)
        : m_context(context)
        , m_client(context, MaxCallsAtOnce)
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
            call("/v3/lease/revoke", etcd::nameLease(m_lease), [](const std::optional<etcd::Answer> &) {});
        }
    }

    void write(effect::WriteConfig &&write)
    {
        const std::shared_ptr<Write> state =
            std::make_shared<Write>(Write{std::move(write), now() + m_settings.writeFor, FirstBackoff});
        lookThenWrite(state);
    }

    std::uint64_t calls() const noexcept
    {
        return m_calls.load(std::memory_order_relaxed);
    }

private:
    using OnAnswer = std::function<void(const std::optional<etcd::Answer> &)>;

    /// A write of the configuration that is under way.
    struct Write
    {
        effect::WriteConfig effect;
        std::chrono::steady_clock::time_point until;
        Duration backoff;
    };

    static std::chrono::steady_clock::time_point now()
    {
        return std::chrono::steady_clock::now();
    }

    /// Another server each time, so that a dead one is not asked twice in a row.
    const Endpoint &nextEndpoint()
    {
        m_endpointIndex = (m_endpointIndex + 1) % m_settings.endpoints.size();
        return m_settings.endpoints[m_endpointIndex];
    }

    void call(const char *path, std::string body, OnAnswer onAnswer)
    {
        m_calls.fetch_add(1, std::memory_order_relaxed);
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.body = std::move(body);
        m_client.send(m_settings.endpoints[m_endpointIndex], std::move(request), m_settings.callTimeout,
                      [self = shared_from_this(), onAnswer = std::move(onAnswer)](HttpOutcome &&outcome) {
                          std::optional<etcd::Answer> answer;
                          if (outcome.end == HttpEnd::Answered && outcome.response.status == 200) {
                              answer = etcd::readAnswer(outcome.response.body);
                          }
                          if (!answer) {
                              self->nextEndpoint();
                          }
                          onAnswer(answer);
                      });
    }

    void after(asio::steady_timer &timer, Duration wait, std::function<void(Impl &)> what)
    {
        timer.expires_after(wait);
        timer.async_wait([weak = weak_from_this(), what = std::move(what)](boost::system::error_code ec) {
            const std::shared_ptr<Impl> self = weak.lock();
            if (!ec && self && !self->m_stopped) {
                what(*self);
            }
        });
    }

    /// Half to all of the wait, so that entries which lost the store together don't return together.
    Duration jittered(Duration wait)
    {
        return wait / 2 + Duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(wait.count() / 2 + 1)));
    }

    void sync()
    {
        m_watch.reset();
        call("/v3/kv/range", etcd::rangePrefix(etcd::Prefix),
             [self = shared_from_this()](const std::optional<etcd::Answer> &answer) {
                 if (self->m_stopped) {
                     return;
                 }
                 if (!answer) {
                     self->syncLater();
                     return;
                 }
                 self->m_backoff = FirstBackoff;
                 self->m_entries.clear();
                 for (const etcd::KeyValue &kv : answer->kvs) {
                     self->take(kv);
                 }
                 self->tellEntries();
                 self->watch(answer->revision + 1);
             });
    }

    void syncLater()
    {
        m_watch.reset();
        const Duration wait = jittered(m_backoff);
        m_backoff = std::min(m_backoff * 2, MaxBackoff);
        m_probeTimer.cancel();
        after(m_syncTimer, wait, [](Impl &self) { self.sync(); });
    }

    void watch(std::int64_t from)
    {
        m_calls.fetch_add(1, std::memory_order_relaxed);
        m_watch = std::make_unique<HttpStream>(
            m_context, m_settings.endpoints[m_endpointIndex], "/v3/watch", etcd::watchPrefix(etcd::Prefix, from),
            [this](const std::string &line) { onWatched(line); }, [this]() { syncLater(); });
        probeLater();
    }

    void onWatched(const std::string &line)
    {
        const std::optional<etcd::Answer> answer = etcd::readAnswer(line);
        if (!answer) {
            // Not from within the stream's own call, which the reset would destroy.
            after(m_syncTimer, FirstBackoff, [](Impl &self) { self.sync(); });
            return;
        }
        bool entriesChanged = false;
        for (const etcd::KeyValue &kv : answer->kvs) {
            entriesChanged = take(kv) || entriesChanged;
        }
        if (entriesChanged) {
            tellEntries();
        }
    }

    /// Reads the configuration from time to time: a watch that has gone silent looks just like one with no news.
    void probeLater()
    {
        after(m_probeTimer, m_settings.probeEvery, [](Impl &self) {
            self.call("/v3/kv/range", etcd::rangeKey(etcd::ConfigKey),
                      [me = self.shared_from_this()](const std::optional<etcd::Answer> &answer) {
                          if (me->m_stopped) {
                              return;
                          }
                          if (!answer) {
                              me->syncLater();
                              return;
                          }
                          const std::int64_t seen = answer->kvs.empty() ? 0 : answer->kvs.front().modRevision;
                          if (seen != me->m_configModRevision) {
                              me->sync();
                              return;
                          }
                          me->probeLater();
                      });
        });
    }

    /// Takes a key in; true when the list of entries has changed.
    bool take(const etcd::KeyValue &kv)
    {
        if (kv.key == etcd::ConfigKey) {
            m_configModRevision = kv.deleted ? 0 : kv.modRevision;
            const std::optional<ConfigVersion> version = kv.deleted ? std::nullopt : etcd::readConfig(kv.value);
            if (version) {
                m_sink.deliver(event::StoreConfigSeen{*version});
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
        if (endpoint) {
            m_entries[name] = ProcessId{*endpoint, Incarnation()};
        }
        return endpoint.has_value();
    }

    void tellEntries()
    {
        event::StoreEntriesSeen seen;
        for (const std::pair<const std::string, ProcessId> &entry : m_entries) {
            seen.entries.push_back(entry.second);
        }
        m_sink.deliver(std::move(seen));
    }

    void registerSelf()
    {
        const std::int64_t ttl = std::chrono::duration_cast<seconds>(m_settings.leaseFor).count();
        call("/v3/lease/grant", etcd::grantLease(ttl), [self = shared_from_this()](const std::optional<etcd::Answer> &answer) {
            if (!answer || answer->lease.empty() || self->m_stopped) {
                self->registerLater();
                return;
            }
            self->m_lease = answer->lease;
            const std::string key = std::string(etcd::EntriesPrefix) + toString(self->m_self.endpoint);
            self->call("/v3/kv/put", etcd::putUnderLease(key, "{}", self->m_lease),
                       [self](const std::optional<etcd::Answer> &put) {
                           if (!put) {
                               self->registerLater();
                               return;
                           }
                           self->renewLater();
                       });
        });
    }

    void registerLater()
    {
        after(m_leaseTimer, jittered(m_settings.leaseFor / 2), [](Impl &self) { self.registerSelf(); });
    }

    void renewLater()
    {
        after(m_leaseTimer, m_settings.leaseFor / 3, [](Impl &self) {
            self.call("/v3/lease/keepalive", etcd::nameLease(self.m_lease),
                      [me = self.shared_from_this()](const std::optional<etcd::Answer> &answer) {
                          const bool lapsed = answer && (answer->ttl.empty() || answer->ttl == "0");
                          if (lapsed) {
                              me->registerSelf();
                              return;
                          }
                          me->renewLater();
                      });
        });
    }

    void endWrite(const std::shared_ptr<Write> &write, event::StoreWriteEnded::How how, ConfigVersion current)
    {
        m_sink.deliver(event::StoreWriteEnded{write->effect.tag, how, std::move(current)});
    }

    /// The change's own id settles what became of an attempt whose answer was lost.
    void lookThenWrite(const std::shared_ptr<Write> &write)
    {
        call("/v3/kv/range", etcd::rangeKey(etcd::ConfigKey),
             [self = shared_from_this(), write](const std::optional<etcd::Answer> &answer) {
                 if (!answer) {
                     self->writeLater(write);
                     return;
                 }
                 const std::int64_t modRevision = answer->kvs.empty() ? 0 : answer->kvs.front().modRevision;
                 const ConfigVersion current = answer->kvs.empty()
                     ? ConfigVersion()
                     : etcd::readConfig(answer->kvs.front().value).value_or(ConfigVersion());
                 const std::vector<std::string> &recent = current.recentChanges;
                 if (std::find(recent.begin(), recent.end(), write->effect.next.changeId) != recent.end()) {
                     self->endWrite(write, event::StoreWriteEnded::How::Written, current);
                     return;
                 }
                 if (write->effect.lookOnly || current.revision != write->effect.base) {
                     self->endWrite(write, event::StoreWriteEnded::How::Conflict, current);
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

    void compareAndPut(const std::shared_ptr<Write> &write, std::int64_t modRevision)
    {
        const std::string body = etcd::putIfAt(etcd::ConfigKey, etcd::renderConfig(write->effect.next), modRevision);
        call("/v3/kv/txn", body, [self = shared_from_this(), write](const std::optional<etcd::Answer> &answer) {
            if (answer && answer->succeeded) {
                self->endWrite(write, event::StoreWriteEnded::How::Written, write->effect.next);
                return;
            }
            self->writeLater(write);
        });
    }

    void writeLater(const std::shared_ptr<Write> &write)
    {
        if (m_stopped || now() >= write->until) {
            endWrite(write, event::StoreWriteEnded::How::Unreachable, ConfigVersion());
            return;
        }
        const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context);
        const Duration wait = jittered(write->backoff);
        write->backoff = std::min(write->backoff * 2, MaxBackoff);
        timer->expires_after(wait);
        timer->async_wait([self = shared_from_this(), write, timer](boost::system::error_code) { self->lookThenWrite(write); });
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
    Duration m_backoff = FirstBackoff;
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
