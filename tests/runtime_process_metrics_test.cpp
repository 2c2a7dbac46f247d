// Guards against process metrics that are not served, and against changes to
// other responses.
#define BOOST_TEST_MODULE runtime_process_metrics
#include <boost/test/unit_test.hpp>

#include "caraway/runtime/process_metrics.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(process_metrics_are_added_only_to_metrics_responses)
{
  PeerCounters peers;
  peers.mDropped = 7;
  HttpResponse metrics;
  metrics.mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } };
  metrics.mBody = "caraway_entry_requests_total 3\n";
  AddProcessMetrics(metrics, peers);
  BOOST_TEST(metrics.mBody.starts_with("caraway_entry_requests_total 3\n"));
  for (const char* line : { "\ncaraway_log_lines_dropped_total 0\n",
                            "\ncaraway_peer_messages_dropped_total 7\n",
                            "\ncaraway_process_memory_peak_bytes " }) {
    BOOST_TEST(metrics.mBody.find(line) != std::string::npos, line);
  }
  HttpResponse other;
  other.mHeaders = { { "Content-Type", "text/plain" } };
  other.mBody = "ready\n";
  AddProcessMetrics(other, peers);
  BOOST_TEST(other.mBody == "ready\n");
}
