/// HTTP request with a streaming response of newline-delimited JSON, such as an etcd watch.
#pragma once

#include "cuminscale/ids.h"
#include "cuminscale/units.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace cuminscale
{

/// Sends a POST request and passes on each line of the response body as it is received. The destructor closes the connection;
/// neither callback is called after it.
class HttpStream
{
public:
    using OnLine = std::function<void(const std::string &)>;
    using OnEnd = std::function<void()>;

    /// Starts the request. `onEnd` is called once when the stream ends for any reason other than destruction of this object: the
    /// connection fails, the response status is not 200, a line is too long, or the server ends the response.
    HttpStream(boost::asio::io_context &context, const Endpoint &server, const std::string &target, const std::string &body,
               OnLine onLine, OnEnd onEnd);
    ~HttpStream();

    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cuminscale
