#include "io/auth.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace larchpin {
namespace {

constexpr std::size_t nonce_bytes = 12;

std::string mac(const std::string& key, std::string_view first, std::string_view second,
                std::string_view third) {
    // Lengths in front keep ("ab", "c") and ("a", "bc") apart.
    std::string text = std::to_string(first.size()) + "," + std::to_string(second.size()) + ",";
    text.append(first).append(second).append(third);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), // NOLINT(*-reinterpret-cast): OpenSSL's bytes
         text.size(), digest.data(), &length);
    return to_hex({reinterpret_cast<const char*>(digest.data()), length}); // NOLINT(*-reinterpret-cast)
}

bool same(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string digest_key(std::string_view key) {
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    auto* to = reinterpret_cast<unsigned char*>(digest.data()); // NOLINT(*-reinterpret-cast): OpenSSL's bytes
    EVP_Digest(key.data(), key.size(), to, nullptr, EVP_sha256(), nullptr);
    return digest;
}

std::string to_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto b = static_cast<unsigned char>(c);
        text.push_back(digits[b >> 4U]);
        text.push_back(digits[b & 0xfU]);
    }
    return text;
}

std::string random_hex(std::size_t bytes) {
    std::string raw(bytes, '\0');
    auto* to = reinterpret_cast<unsigned char*>(raw.data()); // NOLINT(*-reinterpret-cast): OpenSSL's bytes
    RAND_bytes(to, static_cast<int>(bytes));
    return to_hex(raw);
}

signed_nonce sign_request(const shared_keys& keys, std::string_view path, std::string_view body) {
    signed_nonce s;
    s.nonce = random_hex(nonce_bytes);
    s.signature = mac(keys.keys.front(), path, s.nonce, body);
    return s;
}

bool check_request(const shared_keys& keys, std::string_view path, std::string_view body,
                   const signed_nonce& s) {
    return std::any_of(keys.keys.begin(), keys.keys.end(), [&](const std::string& key) {
        return same(mac(key, path, s.nonce, body), s.signature);
    });
}

std::string sign_reply(const shared_keys& keys, std::string_view request_signature, std::string_view body) {
    return mac(keys.keys.front(), "reply", request_signature, body);
}

bool check_reply(const shared_keys& keys, std::string_view request_signature, std::string_view body,
                 std::string_view signature) {
    return std::any_of(keys.keys.begin(), keys.keys.end(), [&](const std::string& key) {
        return same(mac(key, "reply", request_signature, body), signature);
    });
}

} // namespace larchpin
