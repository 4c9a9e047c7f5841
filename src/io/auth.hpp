// Signatures of requests and replies between our processes, by one key that all of them share.
//
// A request is signed over its path, a fresh nonce and its body; the reply over the request's signature and
// its own body, so that a reply cannot be given to another request. The key file holds at least 32 bytes
// and is readable by its owner only. Rotation: `key_file` may be followed by `old_key_file`, whose
// signatures are still taken; see docs/OPERATIONS.md.
//
// Caveat: signatures do not hide anything. Where the network can be listened to, put it into a tunnel.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace larchpin {

struct shared_keys {
    std::vector<std::string> keys; // the first one signs, all of them are taken
};

struct signed_nonce {
    std::string nonce;
    std::string signature;
};

signed_nonce sign_request(const shared_keys& keys, std::string_view path, std::string_view body);
bool check_request(const shared_keys& keys, std::string_view path, std::string_view body,
                   const signed_nonce& s);

std::string sign_reply(const shared_keys& keys, std::string_view request_signature, std::string_view body);
bool check_reply(const shared_keys& keys, std::string_view request_signature, std::string_view body,
                 std::string_view signature);

// SHA-256 of a caller's key, as the table holds it (key_digest_bytes long). Keys are long random texts, so
// the digest needs no salt; comparing digests tells nothing of a key by its timing.
std::string digest_key(std::string_view key);

std::string to_hex(std::string_view bytes);

// Hexadecimal text of `bytes` random bytes.
std::string random_hex(std::size_t bytes);

} // namespace larchpin
