/// Request bodies and responses of the etcd v3 JSON API (the gRPC gateway of etcd), and the stored form of the configuration.
#pragma once

#include "core/events.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminscale::etcd
{

/// Prefix of all keys of this system.
constexpr std::string_view Prefix = "/cuminscale/";
/// Key of the configuration.
constexpr std::string_view ConfigKey = "/cuminscale/config";
/// Prefix of the keys of registered entries, followed by the address of the entry.
constexpr std::string_view EntriesPrefix = "/cuminscale/entries/";

/// A key-value pair from a range response, or one change from a watch response. For a deletion, `value` is empty and
/// `modRevision` is the revision of the deletion.
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
    bool deleted = false;
};

/// Fields of all response types that this system reads; fields that a response does not contain keep their default values.
struct Response
{
    std::int64_t revision = 0; ///< Revision of the store when it responded.
    std::vector<KeyValue> kvs; ///< Results of a range request, or changes in a watch response.
    bool succeeded = false; ///< Transaction: whether the comparison held and the write was applied.
    std::string lease; ///< Lease grant: the id of the lease.
    std::string ttl; ///< Lease renewal: remaining seconds; "0" or empty if the lease has expired.
};

/// Range request for all keys with a prefix, which must not be empty.
std::string rangePrefix(std::string_view prefix);
/// Range request for one key.
std::string rangeKey(std::string_view key);
/// Watch request for all keys with a prefix, which must not be empty, starting with the changes of revision `from`.
std::string watchPrefix(std::string_view prefix, std::int64_t from);
/// Transaction that writes a key only if its mod revision equals `modRevision`; 0 means that the key must not exist.
std::string putIfModRevision(std::string_view key, std::string_view value, std::int64_t modRevision);
/// Put request for a key that is deleted when the lease expires.
std::string putWithLease(std::string_view key, std::string_view value, std::string_view lease);
/// Lease grant request with a time to live in seconds.
std::string grantLease(std::int64_t seconds);
/// Lease renewal or revocation request; both contain just the lease id.
std::string leaseRequest(std::string_view lease);

/// Parses a response or a message of a watch stream. Malformed key-value pairs are left out if there are others, so that one does
/// not hide them. Returns nullopt if the response is malformed otherwise, or reports an error.
std::optional<Response> parseResponse(std::string_view text);

/// Serializes a configuration for the store.
std::string serializeStoredConfig(const ConfigVersion &version);
/// Parses a configuration read from the store. Returns nullopt if it is malformed or its revision is not positive.
std::optional<ConfigVersion> parseStoredConfig(std::string_view value);

} // namespace cuminscale::etcd
