// What `larchpinctl losses` makes of log lines.
#include "ctl/loss_report.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace larchpin {
namespace {

std::string request_line(const std::string& second, const std::string& rest) {
    return R"({"time":"2026-12-02T10:00:)" + second +
           R"(.500Z","event":"request_ended","failure_domain":"z1","group":"g","class":"normal","objective_us":200000,)" +
           rest + "}\n";
}

loss_report read(const std::string& text) {
    std::istringstream in(text);
    return collect_losses({&in});
}

loss_cause only_cause(const std::string& rest) {
    const loss_report report = read(request_line("01", rest));
    return report.losses.size() == 1 ? report.losses.front().cause : loss_cause::other;
}

TEST(losses, a_request_that_was_served_in_time_is_none) {
    const loss_report report =
        read(request_line("01", R"("end":"success","code":0,"took_us":199000,"lender":"")"));
    EXPECT_EQ(report.requests, 1U);
    EXPECT_TRUE(report.losses.empty());
}

TEST(losses, each_refusal_has_its_cause) {
    const std::string refused = R"("end":"refused","run":"not-run","took_us":900,)";
    EXPECT_EQ(only_cause(refused + R"("code":3001,"step":"routed","lender":"")"), loss_cause::no_lease);
    EXPECT_EQ(only_cause(refused + R"("code":3013,"step":"queued","lender":"")"),
              loss_cause::refused_by_estimate);
    EXPECT_EQ(only_cause(refused + R"("code":3005,"step":"queued","lender":"")"),
              loss_cause::waited_for_place);
    EXPECT_EQ(only_cause(refused + R"("code":3005,"step":"statement","lender":"10.0.0.1:1","server_us":0)"),
              loss_cause::waited_for_place)
        << "in the lender's queue";
    EXPECT_EQ(only_cause(R"("end":"refused","run":"unknown","code":3005,"step":"statement","lender":"")"),
              loss_cause::unanswered);
    EXPECT_EQ(only_cause(refused + R"("code":3007,"step":"statement","lender":"")"),
              loss_cause::term_changed);
    EXPECT_EQ(only_cause(refused + R"("code":3016,"step":"limited","lender":"")"), loss_cause::beyond_rate);
    EXPECT_EQ(only_cause(R"("end":"server_error","server_error":"LAGGING")"), loss_cause::server_behind);
    EXPECT_EQ(only_cause(R"("end":"server_error","server_error":"FAILED")"), loss_cause::server_failed);
}

TEST(losses, a_late_answer_is_told_by_where_its_time_went) {
    const std::string late = R"("end":"success","code":0,"took_us":300000,)";
    EXPECT_EQ(only_cause(late + R"("lender":"","waited_us":200000,"server_us":100000)"),
              loss_cause::late_waiting);
    EXPECT_EQ(only_cause(late + R"("lender":"","waited_us":50000,"server_us":250000)"),
              loss_cause::late_at_server);
    EXPECT_EQ(only_cause(late + R"("lender":"10.0.0.1:1","waited_us":0,"server_us":300000)"),
              loss_cause::late_relayed);
}

TEST(losses, for_want_of_a_primary_are_told_by_the_phase_of_the_failover) {
    const auto event = [](const std::string& second, const std::string& name) {
        return R"({"time":"2026-12-02T10:00:)" + second + R"(.000Z","event":")" + name + R"(","group":"g"})" +
               "\n";
    };
    const std::string refused = R"("end":"refused","code":3002,"step":"routed","run":"not-run")";
    const loss_report report =
        read(request_line("01", refused) + request_line("02", refused) + request_line("03", refused) +
             request_line("04", refused) + event("02", "primary_suspected") + event("03", "writes_revoked") +
             event("04", "promoting"));
    ASSERT_EQ(report.losses.size(), 4U);
    EXPECT_EQ(report.losses[0].cause, loss_cause::primary_unknown);
    EXPECT_EQ(report.losses[1].cause, loss_cause::primary_suspected);
    EXPECT_EQ(report.losses[2].cause, loss_cause::primary_choosing);
    EXPECT_EQ(report.losses[3].cause, loss_cause::primary_promoting);
}

TEST(losses, are_counted_beside_what_the_processes_left_out) {
    const loss_report report =
        read("not a line\n{\"half\": \n" +
             std::string(R"({"time":"2026-12-02T10:00:01.000Z","event":"log_lines_dropped","count":12})") +
             "\n" + R"(larchpin_refusals{service="s",class="normal",code="3013"} 40)" + "\n");
    EXPECT_EQ(report.dropped, 12U);
    EXPECT_EQ(report.refusals_counted, 40U);
    EXPECT_TRUE(report.losses.empty());
}

TEST(losses, that_were_left_out_of_a_log_are_told_by_the_causes_of_the_same_second) {
    const std::string refused = R"("end":"refused","run":"not-run","took_us":900,"instance":"i1",)";
    const std::string no_lease = refused + R"("code":3001,"step":"routed","lender":"")";
    const std::string estimate = refused + R"("code":3013,"step":"queued","lender":"")";
    const auto dropped = [](const std::string& of, const std::string& level) {
        return R"({"time":"2026-12-02T10:00:02.100Z","event":"log_lines_dropped","instance":"i1","of":")" +
               of + R"(","severity":")" + level + R"(","count":40})" + "\n";
    };
    const loss_report report =
        read(request_line("01", no_lease) + request_line("01", estimate) + request_line("01", estimate) +
             request_line("01", estimate) + dropped("request_ended", "warning") +
             dropped("request_ended", "info") + dropped("session_refused", "info"));
    EXPECT_EQ(report.left_out.at(static_cast<std::size_t>(loss_cause::no_lease)), 10U);
    EXPECT_EQ(report.left_out.at(static_cast<std::size_t>(loss_cause::refused_by_estimate)), 30U);
    EXPECT_EQ(report.left_out.at(static_cast<std::size_t>(loss_cause::session_closed)), 40U);
    EXPECT_EQ(report.dropped, 120U);
}

TEST(losses, come_out_as_table_values_and_picture) {
    const std::string refused =
        R"("end":"refused","code":3013,"step":"queued","run":"not-run","took_us":700,)";
    std::string text;
    for (const char* id : {"a1", "a2", "a3", "a4"}) {
        text += request_line("01", refused + R"("request":")" + id + "\"");
    }
    const loss_report report = read(text + request_line("03", refused + R"("request":"b1")"));
    std::ostringstream table;
    print_losses(report, 1000, table);
    EXPECT_NE(table.str().find("refused by estimate            5  100.0%"), std::string::npos) << table.str();
    EXPECT_NE(table.str().find("a1 a2 a3\n"), std::string::npos) << "three ids for explain";
    std::ostringstream values;
    print_losses_csv(report, 1000, values);
    EXPECT_NE(values.str().find("2026-12-02T10:00:01.000Z,normal,g,z1,refused by estimate,4,0.8,700,700"),
              std::string::npos)
        << values.str();
    std::ostringstream picture;
    plot_losses(report, 1000, picture);
    EXPECT_TRUE(picture.str().starts_with("<svg"));
    EXPECT_NE(picture.str().find("refused by estimate: 5"), std::string::npos);
}

} // namespace
} // namespace larchpin
