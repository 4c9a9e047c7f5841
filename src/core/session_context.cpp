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

std::string shared_statement_name(const prepared_statement& statement) {
    return (statement.writes ? "w_" : "r_") + statement.shape;
}

std::vector<context_step> plan_context(const connection_context& current,
                                       const std::map<std::string, std::string>& values,
                                       const std::optional<prepared_statement>& statement) {
    std::vector<context_step> steps;
    // A single value cannot be unset, so any extra value on the connection requires a full reset.
    const bool needs_reset = std::any_of(current.values.begin(), current.values.end(),
                                         [&values](const auto& v) { return !values.contains(v.first); });
    if (needs_reset) {
        steps.push_back({.kind = context_step_kind::reset, .name = {}, .value = {}, .statement = {}});
    }
    for (const auto& [name, value] : values) {
        if (needs_reset || !is_set(current.values, name, value)) {
            steps.push_back(
                {.kind = context_step_kind::set_value, .name = name, .value = value, .statement = {}});
        }
    }
    if (!statement) {
        return steps;
    }
    const std::string name = shared_statement_name(*statement);
    if (needs_reset || !current.prepared.contains(name)) {
        steps.push_back(
            {.kind = context_step_kind::prepare, .name = name, .value = {}, .statement = *statement});
    }
    return steps;
}

void apply_step(connection_context& current, const context_step& step) {
    switch (step.kind) {
    case context_step_kind::reset: current = connection_context{}; return;
    case context_step_kind::set_value: current.values[step.name] = step.value; return;
    case context_step_kind::prepare: current.prepared[step.name] = step.statement; return;
    }
}

} // namespace larchpin
