#include "base/codec.h"

#include <array>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace tarragonbridge {

namespace {
constexpr std::size_t CharsPerGroup = 4;
constexpr std::size_t BytesPerGroup = 3;

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}
unsigned char *bytesOf(std::string &Text) {
  return reinterpret_cast<unsigned char *>(Text.data());
}
} // namespace

std::string encodeBase64(std::string_view Bytes) {
  // EVP_EncodeBlock also writes a terminating zero.
  std::string Text(
      (Bytes.size() + BytesPerGroup - 1) / BytesPerGroup * CharsPerGroup + 1,
      '\0');
  const int Length = EVP_EncodeBlock(bytesOf(Text), bytesOf(Bytes),
                                     static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % CharsPerGroup != 0) {
    return std::nullopt;
  }
  std::string Bytes(Text.size() / CharsPerGroup * BytesPerGroup, '\0');
  const int Length = EVP_DecodeBlock(bytesOf(Bytes), bytesOf(Text),
                                     static_cast<int>(Text.size()));
  if (Length < 0) {
    return std::nullopt;
  }
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=') {
    ++Padding;
  }
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

std::string hashSha256(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Hash{};
  SHA256(bytesOf(Bytes), Bytes.size(), Hash.data());
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned NibbleBits = 4;
  constexpr unsigned NibbleMask = 15;
  std::string Text;
  for (const unsigned char Byte : Hash) {
    Text += Digits[Byte >> NibbleBits];
    Text += Digits[Byte & NibbleMask];
  }
  return Text;
}

std::uint64_t randomNumber() {
  std::uint64_t Number = 0;
  while (Number == 0) {
    RAND_bytes(reinterpret_cast<unsigned char *>(&Number), sizeof Number);
  }
  return Number;
}

} // namespace tarragonbridge
