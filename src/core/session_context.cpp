#include "core/session_context.hpp"

#include <algorithm>

namespace larchpin {
namespace {

bool is_set(const std::map<std::string, std::string>& values, const std::string& name,
            const std::string& value) {
    const auto found = values.find(name);
    return found != values.end() && found->second == value;
}

} // namespace

std::string shared_name(const prepared_statement& statement) {
    return (statement.writes ? "w_" : "r_") + statement.shape;
}

std::vector<context_step> plan_context(const connection_context& held,
                                       const std::map<std::string, std::string>& values,
                                       const std::optional<prepared_statement>& statement) {
    std::vector<context_step> steps;
    // A single value cannot be unset, so a value too many costs a reset of everything.
    const bool too_many = std::any_of(held.values.begin(), held.values.end(),
                                      [&values](const auto& v) { return !values.contains(v.first); });
    if (too_many) {
        steps.push_back({.kind = context_step_kind::reset, .name = {}, .value = {}, .statement = {}});
    }
    for (const auto& [name, value] : values) {
        if (too_many || !is_set(held.values, name, value)) {
            steps.push_back(
                {.kind = context_step_kind::set_value, .name = name, .value = value, .statement = {}});
        }
    }
    if (!statement) {
        return steps;
    }
    const std::string name = shared_name(*statement);
    if (too_many || !held.prepared.contains(name)) {
        steps.push_back(
            {.kind = context_step_kind::prepare, .name = name, .value = {}, .statement = *statement});
    }
    return steps;
}

void apply_step(connection_context& held, const context_step& step) {
    switch (step.kind) {
    case context_step_kind::reset: held = connection_context{}; return;
    case context_step_kind::set_value: held.values[step.name] = step.value; return;
    case context_step_kind::prepare: held.prepared[step.name] = step.statement; return;
    }
}

} // namespace larchpin
