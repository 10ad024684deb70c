/// Base64, hashes and random numbers, from OpenSSL.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonbridge {

std::string encodeBase64(std::string_view Bytes);
/// @returns the bytes, nothing when the text is not base64
std::optional<std::string> decodeBase64(std::string_view Text);
/// @returns the SHA-256 hash as 64 hexadecimal digits
std::string hashSha256(std::string_view Bytes);
/// @returns a number from the system's random source, never 0
std::uint64_t randomNumber();

} // namespace tarragonbridge
