/// Requests to the store and what is read from its answers.
#pragma once

#include "core/events.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminscale::etcd
{

/// Everything of ours stands below this prefix.
constexpr std::string_view Prefix = "/cuminscale/";
/// The operators' configuration.
constexpr std::string_view ConfigKey = "/cuminscale/config";
/// One key for each registered entry.
constexpr std::string_view EntriesPrefix = "/cuminscale/entries/";

/// One key as the store holds it; an empty value with a zero revision stands for a deleted one.
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
    bool deleted = false;
};

/// What an answer or a watch message carries.
struct Answer
{
    std::int64_t revision = 0;
    std::vector<KeyValue> kvs;
    bool succeeded = false; ///< For a transaction.
    std::string lease; ///< For a granted lease.
    std::string ttl; ///< For a renewed lease; "0" or empty when it has lapsed.
};

/// Reads the keys below a prefix.
std::string rangePrefix(std::string_view prefix);
/// Reads one key.
std::string rangeKey(std::string_view key);
/// Watches a prefix from a revision on.
std::string watchPrefix(std::string_view prefix, std::int64_t from);
/// Writes a key if it is still at the given revision; zero stands for "does not exist".
std::string putIfAt(std::string_view key, std::string_view value, std::int64_t modRevision);
/// Writes a key under a lease.
std::string putUnderLease(std::string_view key, std::string_view value, std::string_view lease);
/// Asks for a lease of so many seconds.
std::string grantLease(std::int64_t seconds);
/// Names a lease, to renew or to revoke it.
std::string nameLease(std::string_view lease);

/// Reads an answer or a watch message; nothing when it is malformed.
std::optional<Answer> readAnswer(std::string_view text);

/// The stored form of a configuration.
std::string renderConfig(const ConfigVersion &version);
/// Reads the stored form; nothing when it is malformed.
std::optional<ConfigVersion> readConfig(std::string_view value);

} // namespace cuminscale::etcd
