// Hashes (xxHash, SHA-256) and identities.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tray {

/// 64-bit hash of bytes, stable across processes and versions.
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

/// 16-byte hash of bytes.
std::string hash128(std::string_view bytes);

/// Lower-case hexadecimal SHA-256, for credentials.
std::string sha256Hex(std::string_view bytes);

/// Lower-case hexadecimal form of bytes.
std::string toHex(std::string_view bytes);

/// Hexadecimal form of a number, 16 digits.
std::string toHex(uint64_t number);

/// 16 random bytes that identify a request, claim or writer.
std::string newIdentity();

/// Random 64-bit nonce, never zero.
uint64_t newNonce();

/// Weight of a candidate for a key in rendezvous hashing; the highest weight wins.
uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace tray
