#include "io/backend_connection.hpp"

namespace larchpin {

void prepare_context(backend_connection& connection, backend_request& request) {
    request.steps = plan_context(connection.held, request.session_values, request.session_statement);
    for (const context_step& step : request.steps) {
        apply_step(connection.held, step);
    }
}

void note_context(backend_connection& connection, const backend_outcome& outcome) {
    if (outcome.steps_failed || outcome.refusal == server_refusal::no_statement) {
        connection.held = {};
        connection.held.values["?"] = ""; // a reset comes first
    }
}

} // namespace larchpin
