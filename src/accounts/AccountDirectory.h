// Finds the client account that a key belongs to.
//
// Keys are kept as SHA-256 digests only, so that neither a log nor a memory dump shows one.
#pragma once

#include "accounts/ClientAccount.h"
#include "base/Hash.h"
#include "base/Result.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace tray {

/// All client accounts of one configuration; immutable once it is in force.
class AccountDirectory
{
public:
    /// Adds an account. Fails with BadRequest if its name is empty, taken or no valid header value,
    /// or if its rate or burst is negative or not finite; the message names the account and the
    /// field.
    Result<Unit> add(ClientAccount account);
    /// Adds a key of the account that was added last. Fails with BadRequest if the key is empty.
    /// The key belongs to no account until indexKeys() is called.
    Result<Unit> addKey(std::string_view key);
    /// Makes the added keys known to findByKey(). Sorts them all at once: inserting each one where
    /// it belongs moves half of the others, which took 34 of 47 ms for 10,000 keys. Fails with
    /// BadRequest if a key belongs to two accounts; the message names both, but not the key, and
    /// the key remains that of the first one.
    Result<Unit> indexKeys();

    /// Returns the account that a key belongs to; null if there is none.
    const ClientAccount *findByKey(std::string_view key) const;
    /// Returns the account with this digest of its name; null if there is none.
    const ClientAccount *findByDigest(uint64_t digest) const;
    const std::vector<ClientAccount> &accounts() const { return this->accountList; }
    /// Returns for each account, in the order of accounts(), how many of its keys do not belong to
    /// the account of the same name in the other directory.
    std::vector<size_t> countKeysMissingFrom(const AccountDirectory &other) const;

private:
    struct KeyEntry
    {
        Sha256Digest digest;
        uint32_t account;
    };

    const ClientAccount *findByKeyDigest(const Sha256Digest &digest) const;

    std::vector<ClientAccount> accountList;
    // Indexes in the list, by digest of the name.
    std::unordered_map<uint64_t, uint32_t> indexByDigest;
    // The first indexedKeys are sorted by digest, and each digest occurs once among them.
    std::vector<KeyEntry> keys;
    size_t indexedKeys = 0;
};

} // namespace tray
