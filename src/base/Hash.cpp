// Hashes from xxHash and OpenSSL, and random ids from OpenSSL.
#include "base/Hash.h"

#include <array>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace tray {

uint64_t hash64(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string hash128(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    return {reinterpret_cast<const char *>(canonical.digest), sizeof canonical.digest};
}

Sha256Digest sha256(std::string_view bytes)
{
    Sha256Digest digest;
    static_assert(digest.size() == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return digest;
}

std::string sha256Hex(std::string_view bytes)
{
    const Sha256Digest digest = sha256(bytes);
    return toHex(std::string_view(reinterpret_cast<const char *>(digest.data()), digest.size()));
}

std::string toHex(std::string_view bytes)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += Digits[byte >> 4];
        text += Digits[byte & 15];
    }
    return text;
}

std::string toHex(uint64_t number)
{
    std::string bytes(8, '\0');
    for (int i = 7; i >= 0; --i) {
        bytes[static_cast<size_t>(i)] = static_cast<char>(number & 255);
        number >>= 8;
    }
    return toHex(std::string_view(bytes));
}

std::string newIdentity()
{
    std::string identity(16, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(identity.data()), 16);
    return identity;
}

uint64_t newNonce()
{
    uint64_t nonce = 0;
    while (nonce == 0)
        RAND_bytes(reinterpret_cast<unsigned char *>(&nonce), sizeof nonce);
    return nonce;
}

uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

} // namespace tray
