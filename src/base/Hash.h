// Hashes (xxHash, SHA-256), hexadecimal text and random ids.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tray {

/// Returns a 64-bit hash of the bytes that is stable across processes and versions.
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

/// Returns a 16-byte hash of the bytes.
std::string hash128(std::string_view bytes);

/// A SHA-256 hash.
using Sha256Digest = std::array<unsigned char, 32>;

/// Returns the SHA-256 hash of the bytes. Used for credentials.
Sha256Digest sha256(std::string_view bytes);

/// Returns the SHA-256 hash as lower-case hexadecimal text. Used for credentials.
std::string sha256Hex(std::string_view bytes);

/// Returns the bytes as lower-case hexadecimal text.
std::string toHex(std::string_view bytes);

/// Returns the number as 16 hexadecimal digits.
std::string toHex(uint64_t number);

/// Returns 16 random bytes that identify a request, claim or writer.
std::string newIdentity();

/// Returns a random 64-bit nonce that is never zero.
uint64_t newNonce();

/// Returns the weight of a candidate for a key in rendezvous hashing. The candidate with the
/// highest weight is selected.
uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace tray
