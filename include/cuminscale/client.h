/// Client library: submits jobs to entries over HTTP. Resubmissions reuse the submission id, which makes them idempotent.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <memory>
#include <string>
#include <vector>

namespace cuminscale
{

/// How a call ended, as far as the client knows.
enum class CallEnd : std::uint8_t {
    Answered, ///< An entry answered; see `status` and `outcome` of the response.
    Unreachable, ///< No entry could be reached; nothing was sent.
    Lost, ///< The request was sent, but no response arrived; it may have been processed.
};

/// An entry's response.
struct CallAnswer
{
    CallEnd end = CallEnd::Unreachable;
    unsigned status = 0; ///< HTTP status; 0 without a response.
    std::string outcome; ///< Value of the Cuminscale-Outcome header: "ran", "not-run" or "unknown".
    bool mayRetry = false; ///< The response has a Retry-After header: a retry under a new id may succeed.
    std::string traceparent;
    std::string body;
};

/// A blocking client for a set of entries. Not thread-safe.
class Client
{
public:
    /// `entries` must not be empty; the client fails over between them in this order.
    explicit Client(std::vector<Endpoint> entries);
    ~Client();

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends one request to the current entry. Fails over to the next entry only if the current one can't be reached: a
    /// request that was sent is not repeated.
    CallAnswer call(const std::string &method, const std::string &target, const std::string &body, Duration timeout);

    /// Submits a job, and resubmits it under the same id through other entries until its outcome is known or `timeout` has
    /// passed. This is safe because a job id is never started twice.
    CallAnswer submit(const std::string &service, const std::string &id, const std::string &body, Duration timeout);

    /// Submits a job under a new id. Retries under another new id while the entry answers that the job was not run and that a
    /// retry may succeed. `id` receives the last id used.
    CallAnswer submitNew(const std::string &service, const std::string &body, Duration timeout, std::string &id);

    /// Requests one submission id for a service and returns the entry's response. `id` is left unchanged if the response contains
    /// none.
    CallAnswer fetchId(const std::string &service, std::string &id);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cuminscale
