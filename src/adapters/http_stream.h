/// A request whose answer never ends: one JSON text a line, as a store's watch sends them.
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

/// Reads lines from one endless answer until it ends or is closed.
class HttpStream
{
public:
    using OnLine = std::function<void(const std::string &)>;
    using OnEnd = std::function<void()>;

    /// Opens the stream; `onEnd` is called once when it could not be opened or has ended, unless it was closed here.
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
