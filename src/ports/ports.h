/// The ports of the decision core: what the outside does for it. Adapters implement them, tests replace them.
#pragma once

#include "core/events.h"

namespace cuminscale
{

/// Messages to other processes. Delivery is not promised; the protocol repeats what it must.
class PeerPort
{
public:
    virtual ~PeerPort() = default;

    virtual void send(effect::SendPeer &&message) = 0;
    virtual void replace(const effect::ReplaceConnection &connection) = 0;
    virtual void forget(const effect::ForgetConnection &connection) = 0;
};

/// The backend server beside an agent.
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    virtual void start(effect::StartTask &&task) = 0;
    virtual void abort(const effect::AbortTask &task) = 0;
};

/// The platform's key-value store.
class StorePort
{
public:
    virtual ~StorePort() = default;

    virtual void write(effect::WriteConfig &&write) = 0;
};

/// Callers and operators that wait for an answer.
class CallerPort
{
public:
    virtual ~CallerPort() = default;

    virtual void reply(effect::ReplyCaller &&reply) = 0;
};

/// Logs and traces.
class TelemetryPort
{
public:
    virtual ~TelemetryPort() = default;

    virtual void log(const effect::LogLine &line) = 0;
    virtual void span(effect::SpanEnded &&span) = 0;
};

/// Where adapters hand in what has happened.
class EventSink
{
public:
    virtual ~EventSink() = default;

    /// Hands an event over; false, leaving the event with the caller, when the core is too far behind to take it.
    virtual bool offer(Event &event) = 0;

    /// Hands an event over that must not be lost; held back in order while the core is behind.
    virtual void deliver(Event &&event) = 0;
};

} // namespace cuminscale
