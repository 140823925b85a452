// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/hash.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>
#include <random>

namespace Yokepond::Base {

namespace {

constexpr std::size_t digestSize = 32;
using Digest = std::array<unsigned char, digestSize>;

std::string toHexadecimal(const Digest &digest)
{
    return absl::BytesToHexString({reinterpret_cast<const char *>(digest.data()), digest.size()});
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string sha256(std::string_view text)
{
    Digest digest {};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return toHexadecimal(digest);
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    Digest digest {};
    unsigned int size = digestSize;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(text.data()),
         text.size(), digest.data(), &size);
    return toHexadecimal(digest);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t randomValue()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

std::string hexadecimal(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

} // namespace Yokepond::Base
