/// Base64, SHA-256 and random numbers, based on OpenSSL.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonbridge {

std::string encodeBase64(std::string_view Bytes);
/// @returns the decoded bytes, or nullopt if the text is not valid Base64
std::optional<std::string> decodeBase64(std::string_view Text);
/// @returns the SHA-256 hash as 64 hexadecimal digits
std::string hashSha256(std::string_view Bytes);
/// @returns a number from OpenSSL's cryptographic generator, never 0
std::uint64_t randomNumber();

} // namespace tarragonbridge
