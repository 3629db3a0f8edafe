// Looks keys up by their digests.
#include "accounts/AccountDirectory.h"

#include <algorithm>
#include <cmath>
#include <openssl/crypto.h>
#include <optional>
#include <tuple>
#include <utility>

namespace tray {

namespace {

bool isValidAmount(double amount)
{
    return std::isfinite(amount) && amount >= 0;
}

/// Returns whether a name can be a header value and part of a log line: it has no control
/// characters, and no blank at its ends.
bool isValidName(std::string_view name)
{
    return !name.empty() && name.front() != ' ' && name.back() != ' ' &&
           std::none_of(name.begin(), name.end(),
                        [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

} // namespace

Result<Unit> AccountDirectory::add(ClientAccount account)
{
    if (!isValidName(account.name))
        return Error{ErrorKind::BadRequest,
                     "a client account has no name, or one with control characters"};
    const auto &quota = account.quota;
    if (!isValidAmount(quota.perSecond) || !isValidAmount(quota.burst))
        return Error{ErrorKind::BadRequest,
                     std::string("the ") + (isValidAmount(quota.perSecond) ? "burst" : "rate") +
                         " of client account " + account.name + " is negative or not finite"};
    account.digest = hash64(account.name);
    const auto index = static_cast<uint32_t>(this->accountList.size());
    if (!this->indexByDigest.emplace(account.digest, index).second)
        return Error{ErrorKind::BadRequest,
                     "the name of client account " + account.name + " is given twice"};
    this->accountList.push_back(std::move(account));
    return Unit{};
}

Result<Unit> AccountDirectory::addKey(std::string_view key)
{
    const auto &account = this->accountList.back();
    if (key.empty())
        return Error{ErrorKind::BadRequest,
                     "a key of client account " + account.name + " is empty"};
    this->keys.push_back({sha256(key), static_cast<uint32_t>(this->accountList.size() - 1)});
    return Unit{};
}

Result<Unit> AccountDirectory::indexKeys()
{
    // Of equal keys, the one of the account that was added first remains.
    std::sort(
        this->keys.begin(), this->keys.end(), [](const KeyEntry &left, const KeyEntry &right) {
            return std::tie(left.digest, left.account) < std::tie(right.digest, right.account);
        });
    std::optional<std::pair<uint32_t, uint32_t>> conflict;
    const auto end = std::unique(this->keys.begin(), this->keys.end(),
                                 [&](const KeyEntry &first, const KeyEntry &next) {
                                     if (first.digest != next.digest)
                                         return false;
                                     const auto owners = std::pair(next.account, first.account);
                                     if (first.account != next.account)
                                         conflict = std::min(owners, conflict.value_or(owners));
                                     return true;
                                 });
    this->keys.erase(end, this->keys.end());
    this->keys.shrink_to_fit();
    this->indexedKeys = this->keys.size();
    if (!conflict)
        return Unit{};
    return Error{ErrorKind::BadRequest,
                 "client accounts " + this->accountList[conflict->second].name + " and " +
                     this->accountList[conflict->first].name + " have a key in common"};
}

const ClientAccount *AccountDirectory::findByKey(std::string_view key) const
{
    return this->findByKeyDigest(sha256(key));
}

std::vector<size_t> AccountDirectory::countKeysMissingFrom(const AccountDirectory &other) const
{
    std::vector<size_t> counts(this->accountList.size());
    for (const auto &entry : this->keys) {
        const auto *owner = other.findByKeyDigest(entry.digest);
        if (owner == nullptr || owner->name != this->accountList[entry.account].name)
            ++counts[entry.account];
    }
    return counts;
}

const ClientAccount *AccountDirectory::findByKeyDigest(const Sha256Digest &digest) const
{
    const auto end = this->keys.begin() + static_cast<std::ptrdiff_t>(this->indexedKeys);
    const auto place = std::lower_bound(
        this->keys.begin(), end, digest,
        [](const KeyEntry &entry, const Sha256Digest &wanted) { return entry.digest < wanted; });
    if (place == end || CRYPTO_memcmp(place->digest.data(), digest.data(), digest.size()) != 0)
        return nullptr;
    return &this->accountList[place->account];
}

const ClientAccount *AccountDirectory::findByDigest(uint64_t digest) const
{
    const auto found = this->indexByDigest.find(digest);
    return found == this->indexByDigest.end() ? nullptr : &this->accountList[found->second];
}

} // namespace tray
