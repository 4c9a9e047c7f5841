#include "core/admission.hpp"

namespace larchpin {

admission admit(const table& t, const route_entry& route, const std::string& key_digest,
                bool table_is_current) {
    if (!t.requires_key) {
        return {.verdict = admission_verdict::admitted, .workspace = {}};
    }
    if (const workspace_key* key = find_key(t, key_digest)) {
        return {.verdict = admission_verdict::admitted, .workspace = key->workspace};
    }
    if (route.is_public) {
        return {.verdict = admission_verdict::admitted, .workspace = {}};
    }
    return {.verdict = table_is_current ? admission_verdict::refused : admission_verdict::undetermined,
            .workspace = {}};
}

} // namespace larchpin
