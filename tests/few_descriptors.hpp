// A process that is short of descriptors.
#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace larchpin::testing {

// Limits the files that this process may open, while it lives, to so many more than are open now.
class few_descriptors {
public:
    explicit few_descriptors(rlim_t more) {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int next = ::dup(0);
        ::close(next);
        rlimit few = before_;
        few.rlim_cur = static_cast<rlim_t>(next) + more;
        ::setrlimit(RLIMIT_NOFILE, &few);
    }
    ~few_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    few_descriptors(const few_descriptors&) = delete;
    few_descriptors& operator=(const few_descriptors&) = delete;
    few_descriptors(few_descriptors&&) = delete;
    few_descriptors& operator=(few_descriptors&&) = delete;

private:
    rlimit before_{};
};

} // namespace larchpin::testing
