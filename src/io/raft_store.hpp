// The control log on disk: one file of checksummed records, appended and synced.
//
// File `control.log` in the data folder: batches, one for each append. A batch is a mark with the offset it
// stands at, and records: a length, a CRC-32 and a protobuf raft_record. The first record of the file names
// the node. A snapshot rewrites the file under another name and renames it.
//
// A batch is written once the one before it is synced. So where bytes are bad and no mark stands behind them,
// they are of the last batch, which a loss of power may leave in any part and nobody was answered for: they
// are cut off. Bad bytes before a mark had been synced; then the disk lied, and the store refuses to open.
//
// open() and append() touch the disk and may take milliseconds: append() is called from a worker.
#pragma once

#include "core/raft.hpp"
#include "core/result_codes.hpp"

#include <boost/leaf/result.hpp>

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace larchpin {

struct recovered_store {
    raft::node_id node = 0;
    raft::recovered_state state;
    bool is_new = false; // the folder held nothing: the node has a new identity
    std::uint64_t file_bytes = 0;
    std::uint64_t dropped_bytes = 0; // cut off its end
};

class raft_store {
public:
    raft_store() = default;
    ~raft_store();
    raft_store(const raft_store&) = delete;
    raft_store& operator=(const raft_store&) = delete;
    raft_store(raft_store&&) = delete;
    raft_store& operator=(raft_store&&) = delete;

    // Reads the folder back, or starts a new identity in an empty one: `identity`, or a random one for 0.
    // Errors: data_folder_unusable, log_damaged (as result_code).
    boost::leaf::result<recovered_store> open(const std::string& folder, raft::node_id identity = 0);

    // Appends and syncs; returns ok or data_folder_unusable. After an error nothing of it counts as kept, and
    // the same records may be appended again, in front of all later ones: a full disk may have room in a
    // moment.
    result_code append(const std::vector<raft::record>& records);

private:
    [[nodiscard]] std::string log_path() const;
    void keep_one_log() const;
    bool sync_name();
    boost::leaf::result<recovered_store> read_back(raft::node_id identity);
    result_code write_batch(const std::string& records);
    [[nodiscard]] result_code cut_off_after(std::uint64_t bytes) const;
    result_code rewrite(const raft::record& first, const std::vector<raft::record>& rest);

    std::string folder_;
    int file_ = -1;
    off_t good_bytes_ = 0;     // of the file; what follows was refused in part, and is cut off
    bool name_synced_ = false; // of the file, in its folder
    raft::node_id node_ = 0;
    raft::hard_state hard_; // newest, repeated when the file is rewritten
};

// The bytes of a batch's mark and of records as the file holds them, and back; for tests and fuzzing.
std::string encode_mark(std::uint64_t offset);
std::string encode_record(const raft::record& r, raft::node_id node);

struct decoded_log {
    raft::node_id node = 0;
    std::vector<raft::record> records;
    std::size_t good_bytes = 0; // up to the end of the last whole record
    bool damaged = false;       // bytes behind it were synced and cannot be read
};
decoded_log decode_log(const std::string& bytes);

// Folds records, in order, into the state they describe.
raft::recovered_state replay_records(const std::vector<raft::record>& records);

} // namespace larchpin
