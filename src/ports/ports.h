/// Interfaces through which the decision core reaches the outside (ports and adapters). The adapters implement them; tests use
/// fakes.
#pragma once

#include "core/events.h"

namespace cuminscale
{

/// Sends messages to other processes. Delivery is not guaranteed; the protocol retransmits messages that must arrive.
class PeerPort
{
public:
    virtual ~PeerPort() = default;

    virtual void send(effect::SendPeer &&message) = 0;
    /// Closes the connection to a silent peer and opens a new one.
    virtual void replace(const effect::ReplaceConnection &connection) = 0;
    /// Closes the connection to a peer that gets no further messages.
    virtual void forget(const effect::ForgetConnection &connection) = 0;
};

/// The backend server that an agent manages.
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

    /// Replaces the configuration by compare-and-swap.
    virtual void write(effect::WriteConfig &&write) = 0;
};

/// Answers pending requests of callers and operators.
class CallerPort
{
public:
    virtual ~CallerPort() = default;

    virtual void reply(effect::ReplyCaller &&reply) = 0;
};

/// Receives log lines and trace spans.
class TelemetryPort
{
public:
    virtual ~TelemetryPort() = default;

    virtual void log(const effect::LogLine &line) = 0;
    virtual void span(effect::SpanEnded &&span) = 0;
};

/// The decision core's input, to which adapters pass their events.
class EventSink
{
public:
    virtual ~EventSink() = default;

    /// Passes an event on unless the core's queue is full: then returns false and leaves the event unchanged.
    virtual bool offer(Event &event) = 0;

    /// Passes on an event that must not be lost. While the core's queue is full, such events are buffered in order.
    virtual void deliver(Event &&event) = 0;
};

} // namespace cuminscale
