/// HTTP requests and responses as plain structs, so that only the HTTP adapters include Boost.Beast.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminscale
{

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
    /// Server only: the client had closed or reset the connection before the request was read from it. It may have sent the
    /// request again on another connection.
    bool connectionEnded = false;

    /// Returns the value of the first header with this name (case-insensitive), or an empty string if there is none.
    std::string header(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    bool closeConnection = false; ///< Server only: closes the connection after this response.

    /// Returns the value of the first header with this name (case-insensitive), or an empty string if there is none.
    std::string header(std::string_view name) const;
};

} // namespace cuminscale
