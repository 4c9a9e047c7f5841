#include "io/raft_store.hpp"

#include "generated/larchpin.pb.h"
#include "io/codec.hpp"

#include <boost/crc.hpp>
#include <boost/leaf/error.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>

namespace larchpin {

namespace leaf = boost::leaf;

namespace {

constexpr const char* log_name = "control.log";
constexpr const char* new_log_name = "control.log.new";
constexpr std::size_t header_bytes = 8;
// Its first four bytes are above any record's length.
constexpr std::string_view mark_text = "\xff\xff\xff\xff"
                                       "LPB1";
constexpr std::size_t mark_bytes = 16; // the text and the offset
constexpr std::uint32_t max_record_bytes = 64U * 1024 * 1024;

std::uint32_t checksum(std::string_view bytes) {
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void put_u32(std::string& out, std::uint32_t v) {
    constexpr unsigned byte_bits = 8;
    for (unsigned i = 0; i < sizeof(v); ++i) {
        out.push_back(static_cast<char>((v >> (byte_bits * i)) & 0xffU));
    }
}

std::uint32_t get_u32(std::string_view bytes) {
    constexpr unsigned byte_bits = 8;
    std::uint32_t v = 0;
    for (unsigned i = 0; i < sizeof(v); ++i) {
        v |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (byte_bits * i);
    }
    return v;
}

void put_u64(std::string& out, std::uint64_t v) {
    constexpr unsigned half = 32;
    put_u32(out, static_cast<std::uint32_t>(v));
    put_u32(out, static_cast<std::uint32_t>(v >> half));
}

bool is_mark(std::string_view bytes, std::size_t offset) {
    return bytes.substr(offset, mark_bytes) == encode_mark(offset);
}

bool has_mark_from(std::string_view bytes, std::size_t offset) {
    for (std::size_t at = bytes.find(mark_text, offset); at != std::string_view::npos;
         at = bytes.find(mark_text, at + 1)) {
        if (is_mark(bytes, at)) {
            return true;
        }
    }
    return false;
}

// The record at the start of `bytes`, and how many of them it takes. Nothing where there is no whole one:
// zeros in place of what was not written are none either.
struct read_record {
    wire::raft_record record;
    std::size_t bytes = 0;
};
std::optional<read_record> decode_record(std::string_view bytes) {
    if (bytes.size() < header_bytes) {
        return std::nullopt;
    }
    const std::uint32_t length = get_u32(bytes);
    const std::uint32_t expected = get_u32(bytes.substr(sizeof(std::uint32_t)));
    if (length == 0 || length > max_record_bytes || bytes.size() < header_bytes + length) {
        return std::nullopt;
    }
    const std::string_view body = bytes.substr(header_bytes, length);
    read_record read{.record = {}, .bytes = header_bytes + length};
    const bool good =
        checksum(body) == expected && read.record.ParseFromArray(body.data(), static_cast<int>(body.size()));
    return good ? std::optional{std::move(read)} : std::nullopt;
}

bool write_all(int file, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(file, bytes.data(), bytes.size());
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool sync_folder(const std::string& folder) {
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return false;
    }
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

// The whole file, or nothing: a part of a log would pass for a shorter one.
std::optional<std::string> read_file(const std::string& path) {
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    std::ifstream stream(path, std::ios::binary);
    std::string bytes(error ? 0 : size, '\0');
    stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    return error || !stream ? std::nullopt : std::optional{std::move(bytes)};
}

// Replaces the log up to the snapshot. The entries after it stay only where the log held the snapshot's last
// entry itself, or begins behind the same snapshot already: what followed another entry is not known to
// follow this one. A batch that failed behind its snapshot is appended again, and the snapshot with it.
void apply_snapshot(raft::recovered_state& state, const raft::snapshot& snap) {
    const bool is_repeated = state.snap.index == snap.index && state.snap.term == snap.term;
    const bool is_held = std::any_of(state.log.begin(), state.log.end(), [&snap](const raft::entry& e) {
        return e.index == snap.index && e.term == snap.term;
    });
    std::erase_if(state.log,
                  [&](const raft::entry& e) { return !(is_held || is_repeated) || e.index <= snap.index; });
    state.snap = snap;
}

raft::node_id make_node_id() {
    std::random_device device;
    constexpr unsigned half = 32;
    const auto id = (static_cast<std::uint64_t>(device()) << half) | device();
    return id == 0 ? 1 : id;
}

} // namespace

std::string encode_mark(std::uint64_t offset) {
    std::string bytes(mark_text);
    put_u64(bytes, offset);
    return bytes;
}

std::string encode_record(const raft::record& r, raft::node_id node) {
    wire::raft_record m;
    to_wire(r, m);
    m.set_node(node);
    const std::string body = m.SerializeAsString();
    std::string bytes;
    put_u32(bytes, static_cast<std::uint32_t>(body.size()));
    put_u32(bytes, checksum(body));
    return bytes + body;
}

decoded_log decode_log(const std::string& bytes) {
    decoded_log log;
    const std::string_view all = bytes;
    std::size_t at = 0;
    while (at < all.size()) {
        if (is_mark(all, at)) {
            at += mark_bytes;
        } else if (const auto read = decode_record(all.substr(at))) {
            log.records.push_back(from_wire(read->record));
            log.node = read->record.node() != 0 ? read->record.node() : log.node;
            at += read->bytes;
        } else {
            log.damaged = has_mark_from(all, at);
            return log;
        }
        log.good_bytes = at;
    }
    return log;
}

raft::recovered_state replay_records(const std::vector<raft::record>& records) {
    raft::recovered_state state;
    for (const raft::record& r : records) {
        if (r.hard) {
            state.hard = *r.hard;
        }
        if (r.snap && r.snap->index >= state.snap.index) {
            apply_snapshot(state, *r.snap);
        }
        if (r.log_entry && r.log_entry->index > state.snap.index) {
            std::erase_if(state.log, [&r](const raft::entry& e) { return e.index >= r.log_entry->index; });
            state.log.push_back(*r.log_entry);
        }
    }
    return state;
}

raft_store::~raft_store() {
    if (file_ >= 0) {
        ::close(file_);
    }
}

leaf::result<recovered_store> raft_store::open(const std::string& folder, raft::node_id identity) {
    folder_ = folder;
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    keep_one_log();
    file_ = ::open(log_path().c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (file_ < 0) {
        return leaf::new_error(result_code::data_folder_unusable);
    }
    return read_back(identity);
}

std::string raft_store::log_path() const {
    return folder_ + "/" + log_name;
}

// A rewrite renames a synced file, and a loss of power may keep the end of the old name without the new one:
// then the log is there under the name that it was written under. Beside a log that file may be of any
// length.
void raft_store::keep_one_log() const {
    const std::string new_path = folder_ + "/" + new_log_name;
    std::error_code error;
    if (std::filesystem::exists(log_path(), error)) {
        std::filesystem::remove(new_path, error);
    } else {
        std::filesystem::rename(new_path, log_path(), error);
    }
}

leaf::result<recovered_store> raft_store::read_back(raft::node_id identity) {
    const auto bytes = read_file(log_path());
    if (!bytes) {
        return leaf::new_error(result_code::data_folder_unusable);
    }
    const decoded_log log = decode_log(*bytes);
    if (log.damaged) {
        return leaf::new_error(result_code::log_damaged);
    }
    recovered_store found;
    if (log.good_bytes < bytes->size() && cut_off_after(log.good_bytes) != result_code::ok) {
        return leaf::new_error(result_code::data_folder_unusable);
    }
    found.is_new = log.node == 0;
    node_ = log.node;
    if (found.is_new) {
        node_ = identity != 0 ? identity : make_node_id();
    }
    found.node = node_;
    found.state = replay_records(log.records);
    found.file_bytes = log.good_bytes;
    found.dropped_bytes = bytes->size() - log.good_bytes;
    good_bytes_ = static_cast<off_t>(log.good_bytes);
    hard_ = found.state.hard;
    if (found.is_new && write_batch(encode_record({}, node_)) != result_code::ok) {
        return leaf::new_error(result_code::data_folder_unusable);
    }
    if (!sync_name()) {
        return leaf::new_error(result_code::data_folder_unusable);
    }
    return found;
}

// Nothing is kept by a file whose name a loss of power may take away.
bool raft_store::sync_name() {
    name_synced_ = name_synced_ || sync_folder(folder_);
    return name_synced_;
}

// Synced at once: what was cut off must not be back behind the next batch after another loss of power.
result_code raft_store::cut_off_after(std::uint64_t bytes) const {
    const bool done = ::ftruncate(file_, static_cast<off_t>(bytes)) == 0 && ::fdatasync(file_) == 0;
    return done ? result_code::ok : result_code::data_folder_unusable;
}

result_code raft_store::write_batch(const std::string& records) {
    const std::string bytes = encode_mark(static_cast<std::uint64_t>(good_bytes_)) + records;
    // Also after an earlier failure: a part of what was refused then may be in the file.
    const bool done = sync_name() && ::ftruncate(file_, good_bytes_) == 0 && write_all(file_, bytes) &&
                      ::fdatasync(file_) == 0;
    good_bytes_ += done ? static_cast<off_t>(bytes.size()) : 0;
    return done ? result_code::ok : result_code::data_folder_unusable;
}

result_code raft_store::append(const std::vector<raft::record>& records) {
    std::string bytes;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const raft::record& r = records[i];
        if (r.hard) {
            hard_ = *r.hard;
        }
        if (r.snap) {
            // Everything in front of a snapshot is replaced by it; write what came before it first, so
            // that log entries after its index are in the file when it is read back.
            if (!bytes.empty() && write_batch(bytes) != result_code::ok) {
                return result_code::data_folder_unusable;
            }
            return rewrite(r, {records.begin() + static_cast<std::ptrdiff_t>(i) + 1, records.end()});
        }
        bytes += encode_record(r, 0);
    }
    return bytes.empty() ? result_code::ok : write_batch(bytes);
}

result_code raft_store::rewrite(const raft::record& first, const std::vector<raft::record>& rest) {
    const auto old = read_file(log_path());
    if (!old || old->size() < static_cast<std::size_t>(good_bytes_)) {
        return result_code::data_folder_unusable;
    }
    std::vector<raft::record> all = decode_log(*old).records;
    all.push_back(first);
    const raft::recovered_state kept = replay_records(all);
    std::string bytes = encode_mark(0) + encode_record({}, node_);
    bytes += encode_record({.hard = hard_, .log_entry = {}, .snap = {}}, 0);
    bytes += encode_record({.hard = {}, .log_entry = {}, .snap = kept.snap}, 0);
    for (const raft::entry& e : kept.log) {
        bytes += encode_record({.hard = {}, .log_entry = e, .snap = {}}, 0);
    }
    const std::string new_path = folder_ + "/" + new_log_name;
    const int file =
        ::open(new_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (file < 0) {
        return result_code::data_folder_unusable;
    }
    const bool written = write_all(file, bytes) && ::fdatasync(file) == 0;
    if (!written || ::rename(new_path.c_str(), log_path().c_str()) != 0) {
        ::close(file);
        return result_code::data_folder_unusable;
    }
    // From here on this is the log, whether or not its name is durable yet: the old file has none.
    ::close(file_);
    file_ = file;
    good_bytes_ = static_cast<off_t>(bytes.size());
    name_synced_ = false;
    if (!sync_name()) {
        return result_code::data_folder_unusable;
    }
    return append(rest);
}

} // namespace larchpin
