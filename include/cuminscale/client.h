/// The client library: talks to entries over HTTP and resubmits under the same id.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <memory>
#include <string>
#include <vector>

namespace cuminscale
{

/// How a call ended as far as the client can tell.
enum class CallEnd : std::uint8_t {
    Answered, ///< An entry answered; see the status and the outcome.
    Unreachable, ///< No entry took the call; nothing was sent.
    Lost, ///< The call was sent and its answer did not come.
};

/// An entry's answer.
struct CallAnswer
{
    CallEnd end = CallEnd::Unreachable;
    unsigned status = 0;
    std::string outcome; ///< "ran", "not-run" or "unknown", as the entry put it.
    bool mayRetry = false; ///< Asking again, under a new id, can help.
    std::string traceparent;
    std::string body;
};

/// A blocking client of some entries. Not safe for use by several threads at once.
class Client
{
public:
    /// The addresses are tried in turn.
    explicit Client(std::vector<Endpoint> entries);
    ~Client();

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Makes one call through the current entry; goes on to the next entry when that one can't be reached. A call that was
    /// sent is not repeated.
    CallAnswer call(const std::string &method, const std::string &target, const std::string &body, Duration timeout);

    /// Submits a job body under an id, and submits it again under the same id, through other entries, for as long as its
    /// outcome is unknown and the time allows. Safe because an id is never started twice.
    CallAnswer submit(const std::string &service, const std::string &id, const std::string &body, Duration timeout);

    /// Submits a job under a fresh id, and under another one when the entry says that the first was not run and may be tried
    /// again. `id` is the last one used.
    CallAnswer submitNew(const std::string &service, const std::string &body, Duration timeout, std::string &id);

    /// Fetches one submission id for a service; the answer's body is the entry's.
    CallAnswer newId(const std::string &service, std::string &id);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cuminscale
